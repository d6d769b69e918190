//! Responses whose status is none of HTTP's final ones, on each path that reads a status.

mod support;

use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::raw_answer::RawAnswer;
use oleander_platform_standins::store_faults::StoreFaults;
use support::deployment::Deployment;
use support::deployment_size::SMALL;
use support::{check_results, job};

/// Statuses that are none of HTTP's final ones, and some that are no status at all.
const ODD: [&str; 12] = [
    "000", "099", "101", "199", "600", "700", "999", "00", "1000", "2x0", "-01", "",
];
/// Final statuses that are seldom seen; the status of an endpoint is passed on.
const SELDOM: [u16; 5] = [299, 302, 399, 451, 499];
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns a signed response of an endpoint with a body of three bytes.
fn answer(status: &str) -> RawAnswer {
    RawAnswer::new(&format!(
        "HTTP/1.1 {status} Odd\r\nrequest-id: {{id}}\r\nserver-stamp: s-{{id}}\r\n\
         content-length: 3\r\n\r\nodd"
    ))
}

fn call(deployment: &Deployment, path: &str, id: &str) -> Option<(u16, Vec<u8>)> {
    let headers = [("request-id", id), ("deadline-ms", "1400")];
    let reply = deployment.call(0, "POST", path, &headers, b"body")?;
    Some((reply.status, reply.body))
}

#[test]
fn a_response_with_an_odd_status_is_no_answer_to_a_call() {
    let deployment = Deployment::start_with_one_service();
    let service = &deployment.services[0];
    for status in ODD {
        service.set_raw_answers(&[answer(status)]);
        let (got, _) = call(&deployment, "/once/x", "odd").expect("a reply");
        // It may have run, which 503 would deny.
        assert_eq!(got, 502, "`{status}` to a call that may not be repeated");
        service.set_raw_answers(&[answer(status)]);
        let got = call(&deployment, "/calls/x", "odd");
        assert_eq!(got, Some((200, b"for odd".to_vec())), "`{status}`");
    }
}

#[test]
fn a_final_status_of_an_endpoint_is_passed_on() {
    let deployment = Deployment::start_with_one_service();
    for status in SELDOM {
        deployment.services[0].set_raw_answers(&[answer(&status.to_string())]);
        let got = call(&deployment, "/once/x", "seldom");
        assert_eq!(got, Some((status, b"odd".to_vec())));
    }
}

#[test]
fn a_body_behind_a_response_that_has_none_belongs_to_no_call() {
    let deployment = Deployment::start_with_one_service();
    let second = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 6\r\n\r\nsecond";
    for status in ["204", "304"] {
        let first = format!(
            "HTTP/1.1 {status} No\r\nrequest-id: {{id}}\r\nserver-stamp: s-{{id}}\r\n\
             content-length: 3\r\n\r\nodd{second}"
        );
        deployment.services[0].set_raw_answers(&[RawAnswer::new(&first)]);
        let got = call(&deployment, "/once/x", "first");
        assert_eq!(got, Some((status.parse().expect("a number"), Vec::new())));
        for n in 0..5 {
            let got = call(&deployment, "/calls/x", &format!("next-{n}"));
            assert_eq!(got, Some((200, format!("for next-{n}").into_bytes())));
        }
    }
}

fn set_answers(deployment: &Deployment, answer: &RawAnswer) {
    for engine in &deployment.engines {
        engine.set_raw_answers(std::slice::from_ref(answer));
    }
}

#[test]
fn a_response_with_an_odd_status_begins_no_stream() {
    let deployment = Deployment::start_with_streams_at_both();
    for status in ODD {
        set_answers(&deployment, &answer(status));
        let text = deployment.read_stream("/talk/x", "odd", 2);
        assert!(text.starts_with("HTTP/1.1 502 "), "`{status}`: {text}");
        set_answers(&deployment, &answer(status));
        let text = deployment.read_stream("/chat/x", "odd", 2);
        assert!(text.starts_with("HTTP/1.1 200 "), "`{status}`: {text}");
        assert!(text.contains("data: odd:2\n"), "`{status}`: {text}");
    }
}

#[test]
fn a_stream_goes_on_behind_a_resumption_with_an_odd_status() {
    let deployment = Deployment::start_with_streams_at_both();
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            break_at_event: 3,
            ..EngineFaults::default()
        });
    }
    for status in ODD {
        let odd = RawAnswer {
            to_resumption: true,
            ..answer(status)
        };
        set_answers(&deployment, &odd);
        let text = deployment.read_stream("/chat/x", "odd", 5);
        let lines: Vec<&str> = text
            .lines()
            .filter(|line| line.starts_with("data: "))
            .collect();
        let expected: Vec<String> = (1..=5).map(|n| format!("data: odd:{n}")).collect();
        // Both resumptions may fail, and the attempts of the route be used up.
        assert_eq!(lines, expected[..lines.len()], "`{status}`: {text}");
        let is_complete = text.ends_with("\r\n0\r\n\r\n");
        assert_eq!(is_complete, lines.len() == 5, "`{status}`: {text}");
        deployment
            .engines
            .iter()
            .for_each(|engine| engine.set_raw_answers(&[]));
    }
}

#[test]
fn a_response_with_an_odd_status_ends_no_item_and_gives_no_score() {
    let deployment = Deployment::start(SMALL);
    for (n, status) in ODD.into_iter().enumerate() {
        for engine in &deployment.engines {
            engine.set_raw_answers(&[answer(status)]);
        }
        for service in &deployment.services {
            service.set_raw_answers(&[answer(status)]);
        }
        let id = format!("job-{n}");
        let body = job(n as u64, 1, 3, 4);
        deployment.submit(0, &id, &body);
        check_results(&deployment.read_all(0, &id, 6), &body);
    }
}

#[test]
fn a_response_of_the_store_with_an_odd_status_refuses_no_write() {
    let deployment = Deployment::start(SMALL);
    for (n, status) in [101, 199, 302, 418, 600, 999].into_iter().enumerate() {
        let id = format!("job-{n}");
        let body = job(n as u64, 1, 2, 3);
        // The store carries the writes out.
        deployment.store.set_faults(StoreFaults {
            odd_status_of: Some(("jobs", status)),
            ..StoreFaults::default()
        });
        let submitted = deployment.try_submit(0, &id, &body);
        deployment.store.set_faults(StoreFaults::default());
        let status_of = submitted.expect("an answer");
        assert!(!PROMISES.contains(&status_of), "{status}: {status_of}");
        deployment.submit(0, &id, &body);
        check_results(&deployment.read_all(0, &id, 4), &body);
    }
}
