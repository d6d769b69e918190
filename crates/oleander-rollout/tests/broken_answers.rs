//! Answers that break off in their head, and errors of the endpoint at which a broken stream would go on.

mod support;

use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::raw_answer::RawAnswer;
use oleander_platform_standins::run_record::RunRecord;
use support::deployment::Deployment;
use support::deployment_size::SMALL;
use support::{check_results, job};

/// Events of the streams.
const EVENTS: usize = 6;
/// Number of the event within which engines break off.
const BREAK_AT: u64 = 4;
/// Heads of the answer to a call whose body is `for {id}`, with what frames the body last or first.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: stamp-{id}\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\nrequest-id: {id}\r\nserver-stamp: stamp-{id}\r\n\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\r\n",
];
/// Step between the lengths at which heads are cut; every length of the last bytes is tried.
const CUT_STEP: usize = 7;
/// Bytes at the end of a head of which every length is tried.
const LAST_BYTES: usize = 24;

/// Returns the proper beginnings of a head.
fn cut_heads(head: &str) -> Vec<&str> {
    let all = 1..head.len();
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".len();
    let tried =
        all.filter(|end| end % CUT_STEP == 0 || end + LAST_BYTES > head.len() || *end == interim);
    // A cut within a placeholder would leave a part of it.
    let cut = tried.filter(|end| {
        let open = head[..*end].rfind('{');
        open.is_none_or(|open| head[open..*end].contains('}'))
    });
    cut.map(|end| &head[..end]).collect()
}

#[test]
fn an_answer_cut_off_in_its_head_is_no_answer_to_a_call() {
    let deployment = Deployment::start_with_one_service();
    for head in HEADS {
        for cut in cut_heads(head) {
            deployment.services[0].set_raw_answers(&[RawAnswer::new(cut)]);
            let headers = [("request-id", "cut"), ("deadline-ms", "1400")];
            let reply = deployment.call(0, "POST", "/once/x", &headers, b"body");
            let status = reply.map(|reply| reply.status);
            // It may have run, which 503 would deny.
            assert!(
                matches!(status, None | Some(502 | 504)),
                "{status:?} {cut:?}"
            );
        }
    }
}

#[test]
fn a_call_that_may_be_repeated_survives_an_answer_cut_off_in_its_head() {
    let deployment = Deployment::start_with_one_service();
    for head in HEADS {
        for cut in cut_heads(head).into_iter().step_by(5) {
            deployment.services[0].set_raw_answers(&[RawAnswer::new(cut)]);
            let headers = [("request-id", "cut"), ("deadline-ms", "1400")];
            let reply = deployment.call(0, "POST", "/calls/x", &headers, b"body");
            let reply = reply.expect("a reply");
            assert_eq!(reply.status, 200, "{cut:?}");
            assert_eq!(reply.body, b"for cut", "{cut:?}");
        }
    }
}

/// Checks that a response has one head, no other bytes than its events, and is either whole or not
/// complete. With all events it lacks its end only if each engine has answered a resumption, so that
/// the second and the third attempt, which is the last, have met the error.
fn check_stream(deployment: &Deployment, text: &str, id: &str, case: &str) {
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 200 "), "{case}: {text}");
    let is_complete = body.ends_with("\r\n0\r\n\r\n");
    let lines = body.lines().filter(|line| !line.is_empty());
    // Lines without a colon are lengths of chunks.
    let lines: Vec<&str> = lines.filter(|line| line.contains(':')).collect();
    let expected = (1..=EVENTS).flat_map(|n| [format!("id: {n}"), format!("data: {id}:{n}")]);
    let expected: Vec<String> = expected.collect();
    assert!(lines.len() <= expected.len(), "{case}: {text}");
    assert_eq!(lines, expected[..lines.len()], "{case}: {text}");
    let has_all = lines.len() == expected.len();
    assert!(has_all || !is_complete, "{case}: {text}");
    let has_resumed = |run: &RunRecord| run.id == id && run.after_event > 0;
    let mut engines = deployment.engines.iter();
    let met_errors_only = engines.all(|engine| engine.runs().iter().any(has_resumed));
    assert!(!has_all || is_complete || met_errors_only, "{case}: {text}");
    let others = body.lines().filter(|line| !line.contains(':'));
    let only_lengths = others
        .into_iter()
        .all(|line| u64::from_str_radix(line, 16).is_ok() || line.is_empty());
    assert!(only_lengths, "{case}: {text}");
}

/// Returns errors of the endpoint at which a stream would go on.
fn errors() -> Vec<(&'static str, String)> {
    let own = "request-id: {id}\r\nserver-stamp: s-{id}\r\n";
    let answer = |status: &str, more: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status}\r\n{own}{more}content-length: {length}\r\n\r\n{body}")
    };
    let unframed = |body: &str| format!("HTTP/1.1 200 OK\r\n{own}\r\n{body}");
    let event = "id: {next}\ndata: {id}:{next}\n\n";
    let second = "HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops";
    let as_events = "content-type: text/event-stream\r\n";
    let events = |numbers: std::ops::RangeInclusive<u64>| -> String {
        let events = numbers.map(|n| format!("id: {n}\ndata: {{id}}:{n}\n\n"));
        events.collect()
    };
    let last = EVENTS as u64;
    let resumption = answer("200 OK", as_events, &events(BREAK_AT..=last));
    vec![
        ("500", answer("500 Oops", "", "oops: failed\n\n")),
        (
            "503 without not-run",
            answer("503 Oops", "", "oops: busy\n\n"),
        ),
        (
            "503 not run",
            answer("503 Oops", "not-run: 1\r\n", "oops: busy\n\n"),
        ),
        ("404", answer("404 Oops", "", "oops: no\n\n")),
        ("422", answer("422 Oops", "", "oops: never\n\n")),
        (
            "302",
            answer("302 Oops", "location: /x\r\n", "oops: moved\n\n"),
        ),
        ("200 with a text", answer("200 OK", "", "oops: failed\n\n")),
        (
            "200 with a text and no blank line",
            answer("200 OK", "", "oops: failed"),
        ),
        (
            "200 with JSON",
            answer(
                "200 OK",
                "content-type: application/json\r\n",
                "{\"oops\": 1}\n\n",
            ),
        ),
        ("200 without a body", answer("200 OK", "", "")),
        ("204", format!("HTTP/1.1 204 No\r\n{own}\r\n")),
        (
            "a head cut off",
            format!("HTTP/1.1 200 OK\r\n{own}content-le"),
        ),
        (
            "a second answer behind an event",
            unframed(&format!("{event}{second}")),
        ),
        ("a second answer at once", unframed(second)),
        (
            "an earlier event than asked for",
            answer("200 OK", as_events, &events(BREAK_AT - 1..=last)),
        ),
        (
            "all events again",
            answer("200 OK", as_events, &events(1..=last)),
        ),
        (
            "a later event than asked for",
            answer("200 OK", as_events, &events(BREAK_AT + 1..=last)),
        ),
        (
            "a missing event",
            answer(
                "200 OK",
                as_events,
                &[events(BREAK_AT..=BREAK_AT), events(last..=last)].concat(),
            ),
        ),
        ("the resumption twice", resumption.repeat(2)),
        (
            "the events twice in one answer",
            answer("200 OK", as_events, &events(BREAK_AT..=last).repeat(2)),
        ),
        ("101", answer("101 Oops", as_events, event)),
        ("600", answer("600 Oops", as_events, event)),
        ("two answers", answer("500 Oops", "", "oops") + second),
    ]
}

#[test]
fn an_error_of_the_next_endpoint_is_no_part_of_a_stream_that_has_begun() {
    let deployment = Deployment::start_with_streams_at_both();
    for (n, (case, error)) in errors().into_iter().enumerate() {
        for engine in &deployment.engines {
            engine.set_faults(EngineFaults {
                break_at_event: BREAK_AT,
                ..EngineFaults::default()
            });
            engine.set_raw_answers(&[RawAnswer::to_resumption(&error)]);
        }
        let id = format!("error-{n}");
        let text = deployment.read_stream("/chat/x", &id, EVENTS);
        check_stream(&deployment, &text, &id, case);
    }
}

#[test]
fn a_stream_cut_off_in_its_head_or_followed_by_another_answer_is_not_relayed_as_whole() {
    let deployment = Deployment::start_with_streams_at_both();
    let own = "request-id: {id}\r\nserver-stamp: s-{id}\r\ncontent-type: text/event-stream\r\n";
    let events: String = (1..=3)
        .map(|n| format!("id: {n}\ndata: {{id}}:{n}\n\n"))
        .collect();
    let second = "HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops";
    let followed = format!("HTTP/1.1 200 OK\r\n{own}\r\n{events}{second}");
    let cut = format!("HTTP/1.1 200 OK\r\n{own}content-type: text/ev");
    for (n, answer) in [followed, cut].iter().enumerate() {
        for path in ["/talk/x", "/chat/x"] {
            for engine in &deployment.engines {
                engine.set_raw_answers(&[RawAnswer::new(answer)]);
            }
            let id = format!("first-{n}");
            let text = deployment.read_stream(path, &id, EVENTS);
            // Nothing of it has been relayed yet.
            if !text.is_empty() && !text.starts_with("HTTP/1.1 502 ") {
                check_stream(&deployment, &text, &id, path);
            }
        }
    }
}

#[test]
fn items_and_scores_survive_answers_that_are_cut_off_or_errors() {
    let deployment = Deployment::start(SMALL);
    let second = "HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops";
    let own = "request-id: {id}\r\nserver-stamp: s-{id}\r\nweight-versions: 1\r\n";
    let event = "id: {next}\ndata: {id}:{next}\n\n";
    let mut answers: Vec<String> = cut_heads(HEADS[0]).into_iter().map(str::to_owned).collect();
    answers.truncate(12);
    let cut_heads_tried = answers.len();
    answers.push(format!("HTTP/1.1 200 OK\r\n{own}\r\n{event}{second}"));
    answers.push(format!("HTTP/1.1 200 OK\r\n{own}\r\n{second}"));
    let empty = "HTTP/1.1 503 Oops\r\ncontent-length: 0\r\n\r\n";
    answers.push(format!("HTTP/1.1 200 OK\r\n{own}\r\n{event}{empty}"));
    for (n, answer) in answers.iter().enumerate() {
        for engine in &deployment.engines {
            engine.set_raw_answers(&[RawAnswer::new(answer)]);
        }
        for service in deployment.services.iter().filter(|_| n < cut_heads_tried) {
            service.set_raw_answers(&[RawAnswer::new(answer)]);
        }
        let id = format!("job-{n}");
        let body = job(n as u64 + 1, 1, 2, 4);
        deployment.submit(0, &id, &body);
        check_results(&deployment.read_all(0, &id, 4), &body);
    }
}
