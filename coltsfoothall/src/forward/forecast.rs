//! Forecast of one service's load at the time when endpoints that are ordered now will serve.
//!
//! Instances report cumulative totals, so what a report adds is spread over the time since the
//! previous one of its instance: a late report neither looks like a trough nor like a burst. The
//! forecast is computed from measurements of one second, to which instances that are silent for
//! a short time contribute as before.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::order::Load;

/// Bounds the memory for boot numbers: an instance that is silent for longer counts as new.
const BOOT_RETENTION: Duration = Duration::from_secs(60);
/// Boot numbers above which silent ones are searched for.
const MIN_PURGE: usize = 64;
/// Silence of an instance that is usual between two heartbeats.
const USUAL_SILENCE: Duration = Duration::from_millis(1_200);
/// Time over which the rate of an instance is averaged, in seconds: some heartbeats.
const RATE_SECONDS: f64 = 1.0;

/// Measurements from which on a slope is computed.
const MIN_SLOPE: usize = 4;

/// How the load ahead is computed from measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predictor {
    /// Mean of the measurements.
    Mean,
    /// Least-squares line through the measurements.
    Line,
    /// Line with the median slope between all pairs of measurements, through their median.
    Median,
}

/// Parameters of a forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Duration of one measurement.
    pub bucket: Duration,
    /// Number of measurements that the predictor uses.
    pub window: usize,
    /// How the load ahead is computed.
    pub predictor: Predictor,
    /// Time ahead: an endpoint starts within 4 s, and an order takes 0.5 s.
    pub horizon: Duration,
    /// Share of the slope that is assumed to last until then.
    pub damping: f64,
    /// A measurement counts as at most this multiple of the median of the window before it: a burst
    /// that is shorter than the start of an endpoint should not be ordered for.
    pub max_ratio: f64,
    /// Number of forecasts of which the maximum is the load, so that noise does not release
    /// endpoints that are ordered again right away.
    pub hold: usize,
    /// How long a silent instance counts as before.
    pub max_silence: Duration,
    /// Duration of traffic after which the load is taken to be complete.
    pub warmup: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bucket: Duration::from_secs(1),
            window: 7,
            predictor: Predictor::Line,
            horizon: Duration::from_millis(4_500),
            damping: 1.0,
            max_ratio: 1.25,
            hold: 3,
            max_silence: Duration::from_millis(4_500),
            warmup: Duration::from_secs(8),
        }
    }
}

/// What is known of one run of an instance.
#[derive(Debug, Clone, Copy)]
struct Boot {
    number: u64,
    /// Microseconds reported last.
    total: u64,
    /// When they were reported.
    at: Time,
    /// Microseconds per second, averaged.
    rate: f64,
}

/// Forecast of one service's load: the endpoints' time that the requests of all instances take.
#[derive(Debug, Clone)]
pub struct Forecast {
    settings: Settings,
    /// Sorted by boot number.
    boots: Vec<Boot>,
    /// Microseconds of each measurement, the newest last.
    buckets: Vec<f64>,
    /// Start of the first measurement kept.
    origin: Time,
    /// When the first traffic was seen.
    first_traffic: Option<Time>,
}

impl Forecast {
    /// Creates a forecast without measurements.
    #[must_use]
    pub fn new(now: Time, settings: Settings) -> Self {
        Self {
            settings,
            boots: Vec::new(),
            buckets: Vec::new(),
            origin: now,
            first_traffic: None,
        }
    }

    /// Merges the microseconds that an instance's requests have taken since it started. What was
    /// taken before its first report is unknown in time and not counted.
    pub fn merge_work(&mut self, now: Time, boot: u64, micros: u64) {
        let found = self.boots.binary_search_by_key(&boot, |boot| boot.number);
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let index = self.purge(now, boot).unwrap_or(index);
                self.boots.insert(
                    index,
                    Boot {
                        number: boot,
                        total: micros,
                        at: now,
                        rate: 0.0,
                    },
                );
                return;
            }
        };
        let known = &mut self.boots[index];
        // A report that was overtaken by a newer one says nothing.
        let Some(more) = micros.checked_sub(known.total) else {
            return;
        };
        let since = known.at;
        let more = more as f64;
        let seconds = now.since(since).as_secs_f64();
        if seconds > 0.0 {
            let weight = 1.0 - (-seconds / RATE_SECONDS).exp();
            known.rate += weight * (more / seconds - known.rate);
        }
        known.total = micros;
        known.at = now;
        if more > 0.0 {
            if self.first_traffic.is_none() {
                self.first_traffic = Some(now);
                self.origin = since.max(now - USUAL_SILENCE);
            }
            self.spread(since, now, more);
        }
    }

    /// The load that is expected ahead; `None` before there is a measurement with traffic.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<Load> {
        let first_traffic = self.first_traffic?;
        let rates = self.rates(now);
        let predict = |dropped: usize| {
            let end = rates.len().checked_sub(dropped).filter(|end| *end > 0)?;
            Some(self.predict(&rates[end.saturating_sub(self.settings.window)..end]))
        };
        if rates.is_empty() {
            return None;
        }
        let value = (0..self.settings.hold.max(1))
            .filter_map(predict)
            .fold(0.0, f64::max);
        let settled = now.since(first_traffic) >= self.settings.warmup;
        (value > 0.0).then_some(Load { value, settled })
    }

    /// Number of measurements kept: the window of the oldest forecast and as many before it, by
    /// which bursts are limited.
    fn kept(&self) -> usize {
        2 * self.settings.window + self.settings.hold
    }

    /// Removes boot numbers that were silent for long, and returns the index for a new one.
    fn purge(&mut self, now: Time, boot: u64) -> Option<usize> {
        if self.boots.len() < MIN_PURGE {
            return None;
        }
        self.boots
            .retain(|boot| now.since(boot.at) < BOOT_RETENTION);
        Some(self.boots.partition_point(|other| other.number < boot))
    }

    /// Adds work evenly to the measurements between two times.
    fn spread(&mut self, from: Time, to: Time, micros: f64) {
        let bucket = self.settings.bucket;
        let count = self.complete(to) + 1;
        let surplus = count.saturating_sub(self.kept() + 1);
        self.buckets.drain(..surplus.min(self.buckets.len()));
        self.origin = self.origin + bucket * u32::try_from(surplus).unwrap_or(u32::MAX);
        self.buckets.resize(count - surplus, 0.0);
        let whole = to.since(from).as_secs_f64();
        if whole <= 0.0 {
            if let Some(last) = self.buckets.last_mut() {
                *last += micros;
            }
            return;
        }
        let mut start = self.origin;
        for value in &mut self.buckets {
            let end = start + bucket;
            *value += micros * overlap((from, to), (start, end)) / whole;
            start = end;
        }
    }

    /// Number of measurements since the origin that have ended.
    fn complete(&self, now: Time) -> usize {
        (now.since(self.origin).as_nanos() / self.settings.bucket.as_nanos()) as usize
    }

    /// Loads in endpoints of the measurements that have ended, those of silent instances included
    /// and bursts limited.
    fn rates(&self, now: Time) -> Vec<f64> {
        let settings = &self.settings;
        let count = self.complete(now);
        // Instances report first at different moments, so that the first measurement is too low and
        // would look like the start of a rise.
        let first = count
            .saturating_sub(self.kept())
            .max(usize::from(count > 1));
        let mut rates: Vec<f64> = Vec::with_capacity(count - first);
        for index in first..count {
            let start = self.origin + settings.bucket * u32::try_from(index).unwrap_or(u32::MAX);
            let span = (start, start + settings.bucket);
            let mut fresh = self.buckets.get(index).copied().unwrap_or(0.0);
            let mut held = 0.0;
            for boot in &self.boots {
                let silence = now.since(boot.at);
                let until = now.min(boot.at + settings.max_silence);
                let missing = boot.rate * overlap((boot.at, until), span);
                if silence < USUAL_SILENCE {
                    fresh += missing;
                } else {
                    held += missing;
                }
            }
            let scale = settings.bucket.as_micros() as f64;
            let (fresh, held) = (fresh / scale, held / scale);
            // Instances that are silent may have ended, and others serve their callers: they can
            // make up for a decrease, but not add to the load.
            let before = rates.last().copied().unwrap_or(fresh);
            rates.push(fresh + held.min((before - fresh).max(0.0)));
        }
        self.limit_bursts(&without_pauses(&rates))
    }

    fn limit_bursts(&self, rates: &[f64]) -> Vec<f64> {
        let window = self.settings.window;
        let limit = |(index, rate): (usize, &f64)| {
            let before = &rates[index.saturating_sub(window)..index];
            // The first measurements have nothing to be compared with.
            if before.len() < window {
                return *rate;
            }
            rate.min(median(before.to_vec()) * self.settings.max_ratio)
        };
        rates.iter().enumerate().map(limit).collect()
    }

    /// The load ahead of measurements, of which there is at least one.
    fn predict(&self, rates: &[f64]) -> f64 {
        let count = rates.len() as f64;
        let mean = rates.iter().sum::<f64>() / count;
        let middle = (count - 1.0) / 2.0;
        let (level, slope) = match self.settings.predictor {
            Predictor::Mean => (mean, 0.0),
            Predictor::Line => (mean, slope(rates, mean, middle)),
            Predictor::Median => (median(rates.to_vec()), median(slopes(rates))),
        };
        let bucket = self.settings.bucket.as_secs_f64();
        // Few measurements show no slope.
        let slope = if rates.len() < MIN_SLOPE { 0.0 } else { slope };
        let present = level + slope * (middle + 0.5);
        // Endpoints end at once but start late, so that a decrease is followed and an increase is
        // anticipated.
        let ahead = self.settings.horizon.as_secs_f64() / bucket * self.settings.damping;
        (present + slope.max(0.0) * ahead).max(0.0)
    }
}

/// The measurements with traffic, without those that a pause begins or ends in, unless there are no
/// others. Callers that pause for seconds, or whose requests are not counted meanwhile, return: the
/// load is that before the pause until no measurement of it is left.
fn without_pauses(rates: &[f64]) -> Vec<f64> {
    let is_empty = |index: usize| rates.get(index).is_some_and(|rate| *rate <= 0.0);
    let busy = (0..rates.len()).filter(|index| !is_empty(*index));
    let whole = busy
        .clone()
        .filter(|index| !is_empty(index + 1) && (*index == 0 || !is_empty(index - 1)));
    let whole: Vec<f64> = whole.map(|index| rates[index]).collect();
    if whole.is_empty() {
        busy.map(|index| rates[index]).collect()
    } else {
        whole
    }
}

/// Least-squares slope per measurement.
fn slope(rates: &[f64], mean: f64, middle: f64) -> f64 {
    let (mut products, mut squares) = (0.0, 0.0);
    for (index, rate) in rates.iter().enumerate() {
        let distance = index as f64 - middle;
        products += distance * (rate - mean);
        squares += distance * distance;
    }
    if squares > 0.0 {
        products / squares
    } else {
        0.0
    }
}

/// Slopes between all pairs of measurements.
fn slopes(rates: &[f64]) -> Vec<f64> {
    let mut slopes = Vec::with_capacity(rates.len() * rates.len() / 2);
    for (first, early) in rates.iter().enumerate() {
        for (second, late) in rates.iter().enumerate().skip(first + 1) {
            slopes.push((late - early) / (second - first) as f64);
        }
    }
    slopes
}

/// Median of some values; zero if there are none.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    values.get(middle).copied().unwrap_or(0.0)
}

/// Seconds that two spans of time have in common.
fn overlap(one: (Time, Time), other: (Time, Time)) -> f64 {
    let (start, end) = (one.0.max(other.0), one.1.min(other.1));
    end.since(start).as_secs_f64()
}
