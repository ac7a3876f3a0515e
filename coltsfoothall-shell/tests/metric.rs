//! The rendered metrics show the recorded values, with a bounded number of labels.

use std::time::Duration;

use coltsfoothall::id::Workspace;
use coltsfoothall::record::Class;
use coltsfoothall_shell::metric::{Board, End, Flow, OTHER, WORKSPACES};

fn workspace(number: usize) -> Workspace {
    format!("workspace-{number}")
        .parse()
        .expect("the name is short and plain")
}

#[test]
fn bounded_labels() {
    let board = Board::new().unwrap();
    for number in 0..3 * WORKSPACES {
        let labels = board.labels(&workspace(number), Class::Batch);
        board.latency(&labels, Duration::from_millis(3));
        board.ended(
            &labels,
            End {
                code: "ok",
                outcome: "done",
            },
        );
    }
    let text = board.render().unwrap();
    let counts: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("coltsfoothall_request_latency_seconds_count"))
        .collect();
    assert_eq!(counts.len(), WORKSPACES + 1, "{text}");
    let other: Vec<&&str> = counts
        .iter()
        .filter(|line| line.contains(&format!("workspace=\"{OTHER}\"")))
        .collect();
    assert_eq!(other.len(), 1);
    assert!(
        other[0].ends_with(&format!(" {}", 2 * WORKSPACES)),
        "{other:?}"
    );
    let again = board.labels(&workspace(0), Class::Batch);
    assert!(format!("{again:?}").contains("workspace-0"));
}

#[test]
fn target_buckets() {
    let board = Board::new().unwrap();
    let labels = board.labels(&workspace(1), Class::Interactive);
    board.first_token(&labels, Duration::from_millis(505));
    board.first_token(&labels, Duration::from_millis(515));
    board.between_tokens(&labels, Duration::from_millis(32));
    board.between_tokens(&labels, Duration::from_millis(34));
    let text = board.render().unwrap();
    for (name, bound) in [("first_token", "0.51"), ("between_tokens", "0.033")] {
        let start = format!("coltsfoothall_request_{name}_seconds_bucket");
        let bound = format!("le=\"{bound}\"");
        let line = text
            .lines()
            .find(|line| line.starts_with(&start) && line.contains(&bound))
            .unwrap();
        assert!(line.ends_with(" 1"), "{line}");
        assert!(line.contains("class=\"interactive\""), "{line}");
    }
}

#[test]
fn all_instruments() {
    let board = Board::new().unwrap();
    let labels = board.labels(&workspace(1), Class::Interactive);
    board.ended(
        &labels,
        End {
            code: "overloaded",
            outcome: "not_run",
        },
    );
    board.retried(&labels);
    board.recomputed(&labels, 7);
    board.endpoints("ready", 9);
    board.members(8);
    board.revision(41);
    board.slots(5);
    board.queued(2);
    board.broken("at_most_once");
    board.store_call("timeout");
    board.peer_bytes(Flow::Out, 100);
    board.refused_for_capacity("no endpoint", Duration::from_secs(4));
    let text = board.render().unwrap();
    for line in [
        "coltsfoothall_endpoints{state=\"ready\"} 9",
        "coltsfoothall_members 8",
        "coltsfoothall_revision 41",
        "coltsfoothall_slots 5",
        "coltsfoothall_queued 2",
        "coltsfoothall_broken_rules_total{rule=\"at_most_once\"} 1",
        "coltsfoothall_store_calls_total{result=\"timeout\"} 1",
        "coltsfoothall_peer_bytes_total{flow=\"out\"} 100",
        "coltsfoothall_refused_retry_after_seconds_sum{reason=\"no endpoint\"} 4",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    assert!(text.contains("code=\"overloaded\""));
    assert!(text.contains("coltsfoothall_recomputed_tokens_total"));
}
