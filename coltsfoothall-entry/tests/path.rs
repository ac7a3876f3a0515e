//! The whole path, in separate processes.

mod system;

use coltsfoothall_wire::caller::Prompt;
use system::{MODEL, Shape, System};

fn prompt(text: &str, tokens: u64) -> Prompt {
    Prompt {
        model: MODEL.into(),
        prompt: text.into(),
        max_tokens: tokens,
        stream: true,
    }
}

#[tokio::test]
async fn answer_whole() {
    let system = System::start(Shape::default()).await;
    for seed in 0..20 {
        let outcome = system
            .caller(seed)
            .complete(&prompt(&format!("cue {seed}"), 30))
            .await;
        let outcome = outcome.unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
        assert_eq!(outcome.tokens, 30, "seed {seed}");
    }
    system.assert_sound().await;
}
