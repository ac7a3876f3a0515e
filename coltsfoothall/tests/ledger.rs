//! Requests under failure: at most once, true "not run", nothing lost.

mod world;

use world::World;

#[test]
fn many_seeds() {
    let mut told = [0; 3];
    let mut moves = [0; 4];
    for seed in 0..400 {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            world.run(1500);
            world.settle();
            let moves = [world.takeovers, world.claims, world.handovers, world.swaps];
            (world.told, moves)
        });
        let Ok((seen, moved)) = run else {
            panic!("seed {seed} broke a promise");
        };
        (0..3).for_each(|at| told[at] += seen[at]);
        (0..4).for_each(|at| moves[at] += moved[at]);
    }
    println!(
        "told done, not run, unknown: {told:?}; takeovers, claims, hand-overs, swaps: {moves:?}"
    );
    assert!(
        told.iter().chain(&moves).all(|count| *count > 100),
        "{told:?} {moves:?}"
    );
}
