//! Parsing of the command line, the help text and the exit codes.

use coltsfoothall::confirm::Verdict;
use coltsfoothall_intent::exit::Exit;
use coltsfoothall_intent::flag::{Command, flags};

fn parse(line: &str) -> Result<Command, bpaf::ParseFailure> {
    let words: Vec<&str> = line.split_whitespace().collect();
    flags().run_inner(words.as_slice())
}

#[test]
fn plan_parsed() {
    let line =
        "plan --entry 10.0.0.1:7000 --entry 10.0.0.2:7000 --token t --json --out p.json i.yaml";
    let Ok(Command::Plan { reach, out, file }) = parse(line) else {
        panic!("not a plan");
    };
    assert_eq!(reach.entries.len(), 2);
    assert!(reach.json);
    assert_eq!(out.unwrap().to_str(), Some("p.json"));
    assert_eq!(file.to_str(), Some("i.yaml"));
}

#[test]
fn file_before_options() {
    let confirm = parse("confirm p.json --entry 10.0.0.1:7000 --token t").unwrap();
    assert!(matches!(confirm, Command::Confirm { out: None, .. }));
    let show = parse("show --entry [::1]:7000 --token t").unwrap();
    assert!(matches!(show, Command::Show { .. }));
}

#[test]
fn invalid_usage_refused() {
    let lines = [
        "",
        "plna",
        "status --token t",
        "status --entry nowhere --token t",
        "plan --entry 10.0.0.1:7000 --token t",
        "status --entry 10.0.0.1:7000 --token t --loud",
    ];
    for line in lines {
        let failure = parse(line).expect_err(line);
        assert_eq!(Exit::of_parser(&failure), Exit::Usage, "{line}");
    }
}

#[test]
fn help_complete() {
    let failure = parse("--help").unwrap_err();
    assert_eq!(Exit::of_parser(&failure), Exit::Done);
    let text = failure.unwrap_stdout();
    for word in [
        "plan",
        "confirm",
        "show",
        "status",
        "Exit codes",
        "3 the plan is stale",
    ] {
        assert!(text.contains(word), "{word} in {text}");
    }
    let text = parse("plan --help").unwrap_err().unwrap_stdout();
    for word in [
        "--entry",
        "--token",
        "COLTSFOOTHALL_TOKEN",
        "--json",
        "--out",
        "FILE",
    ] {
        assert!(text.contains(word), "{word} in {text}");
    }
}

#[test]
fn token_masked() {
    let command = parse("show --entry 10.0.0.1:7000 --token secret").unwrap();
    assert!(!format!("{command:?}").contains("secret"));
}

#[test]
fn exit_codes() {
    let message = String::new();
    let untried = Verdict::Untried {
        message: message.clone(),
    };
    let codes = [
        (Verdict::Accepted(Default::default()), false, 0),
        (
            Verdict::Refused {
                message: message.clone(),
            },
            false,
            1,
        ),
        (untried.clone(), false, 1),
        (untried, true, 4),
        (Verdict::Unsettled { message }, false, 4),
        (
            Verdict::Expired {
                current: Default::default(),
            },
            false,
            4,
        ),
    ];
    for (verdict, lost, code) in codes {
        assert_eq!(Exit::of_verdict(&verdict, lost).code(), code, "{verdict:?}");
    }
}
