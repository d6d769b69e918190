//! A text that passes through a process arrives as it was sent.

use oleanderlock::batch::json_text::JsonText;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use serde_json::json;

const TEXTS: [&str; 6] = [
    "",
    "plain",
    "a\nb\t\"c\"\\",
    "\u{0}\u{1f}",
    "สวัสดี é 🌾",
    "\\u0041",
];

#[test]
fn a_text_has_the_form_of_any_json_string() {
    for text in TEXTS {
        let json = serde_json::to_string(&JsonText::from(text)).expect("it encodes");
        assert_eq!(json, serde_json::to_string(text).expect("it encodes"));
        let decoded: String = serde_json::from_str(&json).expect("a string");
        assert_eq!(decoded, text);
    }
}

#[test]
fn a_text_that_was_received_is_sent_on_unchanged() {
    for json in [r#""a\u00e9\/\u0041""#, r#""é""#, r#""\ud83c\udf3e""#] {
        let body = format!(
            r#"{{"key":{{"job":"j","item":"i"}},"end":{{"Done":{{"text": {json} ,"versions":[1],"score":null}}}}}}"#
        );
        let sample: Sample = serde_json::from_slice(body.as_bytes()).expect("a sample");
        let sent = serde_json::to_string(&sample).expect("it encodes");
        assert!(sent.contains(json), "{sent}");
        let again: Sample = serde_json::from_str(&sent).expect("a sample");
        assert_eq!(again, sample);
    }
}

#[test]
fn what_is_no_string_is_no_text() {
    for text in [json!(1), json!(null), json!({"a": "b"}), json!(["x"])] {
        let end = json!({"Done": {"text": text, "versions": [1], "score": null}});
        let decoded = serde_json::from_str::<SampleEnd>(&end.to_string());
        assert!(decoded.is_err(), "{end}");
    }
}
