//! What a policy decides in a run, seen from the model.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::index::Event;
use coltsfoothall::load::Report;
use coltsfoothall::size::{Price, Tokens};

use crate::workload::Request;

/// An engine as entry instances know it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its place in the model, which is never used again.
    pub engine: usize,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Price of its instance.
    pub price: Price,
    /// Expected reclaims in a thousand hours.
    pub risk: u64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It is sent to an engine.
    Send(usize),
    /// It waits at the entry instance.
    Wait,
    /// It is given up; the caller may come back after this time.
    Refuse(Duration),
}

/// A request that a policy is asked about.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Its number in the run.
    pub number: usize,
    /// The request.
    pub request: &'a Request,
    /// Tokens that were already made elsewhere.
    pub made: u64,
    /// Engines that could not take it.
    pub exclude: &'a [usize],
}

/// Decisions of all entry instances, each of which knows only what it was told.
pub trait Policy {
    /// An entry instance learns which engines there are.
    fn members(&mut self, entry: usize, members: &[Member]);
    /// An entry instance learns that an engine leaves.
    fn leaving(&mut self, entry: usize, engine: usize);
    /// A request arrives at an entry instance.
    fn offer(&mut self, now: Time, entry: usize, call: Call<'_>) -> Answer;
    /// A request has to go on at another engine; it passes no limit again.
    fn carry(&mut self, now: Time, entry: usize, call: Call<'_>) -> Option<usize>;
    /// The first token arrived; `cached` is what was read from the cache.
    fn first(&mut self, now: Time, entry: usize, number: usize, cached: Tokens);
    /// A request ended at its engine, in whatever way.
    fn left(&mut self, now: Time, entry: usize, number: usize);
    /// A request ended for good.
    fn ended(&mut self, now: Time, entry: usize, number: usize);
    /// A load report arrived.
    fn report(&mut self, now: Time, entry: usize, engine: usize, report: &Report);
    /// Cache events arrived.
    fn events(&mut self, now: Time, entry: usize, engine: usize, events: &[Event]);
    /// Time passed, or something ended: which waiting requests go on?
    /// `requests` are all of the run.
    fn poll(&mut self, now: Time, entry: usize, requests: &[Request]) -> Vec<(usize, Answer)>;
}
