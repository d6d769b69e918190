//! Differential tests of samples and streams against reference models, with fixed seeds.

mod samples_support;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::Bytes;
use oleanderlock::assembly_limits::AssemblyLimits;
use oleanderlock::attribution::Attribution;
use oleanderlock::cursor::Cursor;
use oleanderlock::prelude::*;
use oleanderlock::pull::{Pull, PullId};
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::segment::Segment;
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_limits::StepLimits;
use oleanderlock::step_shape::StepShape;
use oleanderlock::step_tag::StepTag;
use oleanderlock::stream_assembly::StreamAssembly;
use oleanderlock::stream_chunk::StreamChunk;
use oleanderlock::whole_answer::WholeAnswer;
use samples_support::delivery_world::named_versions;
use samples_support::naive_assembly::NaiveAssembly;
use samples_support::naive_step::NaiveStep;

const RUNS: u64 = 400;
const ENTROPY_BYTES: u64 = 2048;

/// Runs the property with fixed seeds.
fn check(mut property: impl FnMut(&mut Unstructured) -> Result<()>) {
    for run in 0..RUNS {
        let seed = run.wrapping_mul(0x9e37_79b9) << 32 | ENTROPY_BYTES;
        arbtest(&mut property).seed(seed).run();
    }
}

fn version(u: &mut Unstructured, known: u8) -> Result<Option<Version>> {
    let is_known = u.ratio(known, 100)?;
    let version = Version(u.int_in_range(0..=4)?);
    Ok(Some(version).filter(|_| is_known))
}

#[test]
fn attribution_matches_a_list_of_tokens() {
    check(|u| {
        let mut attribution = Attribution::new();
        let mut tokens: Vec<Option<Version>> = Vec::new();
        for _ in 0..50 {
            let end = tokens.len() as u64;
            let first = if u.ratio(9, 10)? {
                end
            } else {
                u.int_in_range(0..=end + 2)?
            };
            let last = first + u.int_in_range(0..=3)?;
            let version = version(u, 90)?;
            let segment = Segment {
                version,
                first,
                end: last,
            };
            let fits = first == end && last > first;
            assert_eq!(attribution.append(segment).is_ok(), fits);
            if fits {
                tokens.extend((first..last).map(|_| version));
            }
            let segments = attribution.segments();
            let named: Vec<_> = segments
                .iter()
                .flat_map(|s| (s.first..s.end).map(|_| s.version))
                .collect();
            assert_eq!(named, tokens);
            assert!(
                segments
                    .windows(2)
                    .all(|pair| pair[0].version != pair[1].version)
            );
            let all_known: Option<Vec<_>> = tokens.iter().copied().collect();
            let oldest = all_known.and_then(|versions| versions.into_iter().min());
            assert_eq!(attribution.oldest().ok(), oldest);
            assert_eq!(
                attribution.check_cover(first).is_ok(),
                first == tokens.len() as u64
            );
        }
        Ok(())
    });
}

#[test]
fn cursor_matches_a_list_of_flags() {
    check(|u| {
        let slots = u.int_in_range(1..=70u32)?;
        let tag = StepTag(u.arbitrary()?);
        let mut cursor = Cursor::empty(tag, slots);
        let mut flags = vec![false; slots as usize];
        for _ in 0..u.int_in_range(0..=40)? {
            let position = u.int_in_range(0..=slots + 3)?;
            cursor.insert(position);
            flags
                .iter_mut()
                .skip(position as usize)
                .take(1)
                .for_each(|flag| *flag = true);
        }
        let text = cursor.to_string();
        let parsed = Cursor::parse(&text, tag, slots);
        assert_eq!(parsed.as_ref(), Ok(&cursor));
        let held = flags.iter().filter(|flag| **flag).count() as u32;
        assert_eq!((cursor.held(), cursor.remaining()), (held, slots - held));
        assert!(
            (0..slots + 9).all(|p| cursor.contains(p) == flags.get(p as usize).is_some_and(|f| *f))
        );
        assert_eq!(text.is_empty(), held == 0);
        if text.is_empty() {
            return Ok(());
        }
        assert!(Cursor::parse(&text, StepTag(tag.0 ^ 1), slots).is_err());
        assert!(Cursor::parse(&text, tag, slots + 1).is_err());
        assert!(
            Cursor::parse(&text.to_uppercase(), tag, slots).is_err() || text == text.to_uppercase()
        );
        let mut altered = text.clone().into_bytes();
        let index = u.choose_index(altered.len())?;
        altered[index] = if altered[index] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8_lossy(&altered).into_owned();
        assert!(Cursor::parse(&altered, tag, slots).is_err());
        assert!(Cursor::parse(&text[1..], tag, slots).is_err());
        Ok(())
    });
}

#[test]
fn staleness_matches_a_list_of_allowed_versions() {
    check(|u| {
        let trainer = u.int_in_range(0..=30u64)?;
        let bound = u.int_in_range(0..=35u64)?;
        let oldest = u.int_in_range(0..=35u64)?;
        let allowed: Vec<u64> = (0..=40).filter(|v| v + bound >= trainer).collect();
        let staleness = Staleness::within(bound);
        let allows = staleness.allows(Version(oldest), Version(trainer));
        assert_eq!(allows, allowed.contains(&oldest));
        assert!(Staleness { bound: None }.allows(Version(oldest), Version(trainer)));
        Ok(())
    });
}

fn ticket(attempt: u32) -> Ticket {
    Ticket {
        request: RequestId(7),
        attempt,
        incarnation: Incarnation(u64::from(attempt)),
    }
}

fn chunk(u: &mut Unstructured, attempt: u32, near: u64) -> Result<StreamChunk> {
    let offset = (near + u.int_in_range(0..=8)?).saturating_sub(2);
    let tokens = u.int_in_range(0..=3u64)?;
    let data: Vec<u8> = (0..2 * tokens)
        .map(|_| u.arbitrary())
        .collect::<Result<_>>()?;
    let end = offset + tokens.min(u.int_in_range(1..=40)?);
    let middle = offset + u64::from(tokens > 1 && u.arbitrary()?);
    let halves = [(offset, middle), (middle, end)];
    let mut segments = Vec::new();
    for (first, end) in halves.into_iter().filter(|(first, end)| first < end) {
        segments.push(Segment {
            version: version(u, 80)?,
            first,
            end,
        });
    }
    Ok(StreamChunk {
        ticket: ticket(attempt),
        offset,
        tokens,
        data: Bytes::from(data),
        segments,
    })
}

#[test]
fn assembly_matches_a_list_of_chunks() {
    let mut whole = 0;
    check(|u| {
        let limits = AssemblyLimits {
            pending_bytes: 24,
            pending_chunks: 4,
            ..Default::default()
        };
        let mut assembly = StreamAssembly::new(ticket(0), limits);
        let mut naive = NaiveAssembly::new(ticket(0), limits);
        for _ in 0..60 {
            let attempt = naive.ticket.attempt;
            let near = naive.tokens();
            match u.int_in_range(0..=19)? {
                0 => {
                    let next = ticket((attempt + u.int_in_range(0..=2)?).saturating_sub(1));
                    let point = assembly.resume(next);
                    assert_eq!(point.is_ok(), naive.resume(next));
                    if let Ok(point) = point {
                        assert_eq!(
                            (point.offset, point.text.to_vec()),
                            (naive.tokens(), naive.text())
                        );
                    }
                }
                1 => {
                    let total = near + u.int_in_range(0..=4)?;
                    let of = ticket(attempt.saturating_sub(u32::from(u.ratio(1, 4)?)));
                    assert_eq!(assembly.finish(of, total), naive.finish(of, total));
                }
                2 => {
                    let released = assembly
                        .release()
                        .map(|r| (r.offset, r.tokens, r.data.len()));
                    let new = naive.tokens() - naive.released;
                    let bytes = 2 * new as usize;
                    assert_eq!(released, (new > 0).then_some((naive.released, new, bytes)));
                    naive.released += new;
                }
                _ => {
                    let of = attempt.saturating_sub(u32::from(u.ratio(1, 8)?));
                    let chunk = chunk(u, of, near)?;
                    assert_eq!(assembly.chunk(chunk.clone()), naive.chunk(chunk));
                }
            }
            assert_eq!(assembly.tokens(), naive.tokens());
            assert_eq!(assembly.is_whole(), naive.is_whole());
            if let Some(answer) = assembly.whole() {
                assert_eq!(
                    (answer.data.to_vec(), named_versions(&answer)),
                    (naive.text(), naive.versions())
                );
                whole += 1;
            }
        }
        Ok(())
    });
    assert!(whole > 0);
}

fn config(u: &mut Unstructured, sizes: &[u32]) -> Result<StepConfig> {
    let shape = StepShape::new(sizes.iter().copied());
    Ok(StepConfig {
        tag: shape.tag("trainer", 3),
        shape,
        staleness: Staleness {
            bound: Some(u.int_in_range(0..=3)?),
        },
        limits: StepLimits {
            slots: 64,
            in_flight: u.int_in_range(1..=6)?,
            attempts_per_slot: u.int_in_range(1..=3)?,
            sample_bytes: 8,
            payload_bytes: u.int_in_range(8..=64)?,
            answer_bytes: u.int_in_range(1..=24)?,
            discard_delay: Millis(u.int_in_range(0..=3)?),
        },
        guards: SampleGuards::ALL,
    })
}

fn sample(u: &mut Unstructured) -> Result<WholeAnswer> {
    let tokens = u.int_in_range(0..=4u64)?;
    let mut attribution = Attribution::new();
    for token in 0..tokens {
        let segment = Segment {
            version: version(u, 96)?,
            first: token,
            end: token + 1,
        };
        attribution
            .append(segment)
            .expect("segments are contiguous");
    }
    let bytes = u.int_in_range(0..=9)?;
    let cut = u64::from(u.ratio(1, 12)?);
    Ok(WholeAnswer {
        data: Bytes::from(vec![b'x'; bytes]),
        tokens: tokens + cut,
        attribution,
    })
}

fn pull(u: &mut Unstructured, now: Millis, config: &StepConfig, last: &str) -> Result<Pull> {
    let slots = config.shape.slots();
    let mut cursor =
        Cursor::parse(last, config.tag, slots).expect("the cursor came from an answer");
    if u.ratio(1, 6)? {
        cursor = Cursor::empty(config.tag, slots);
    }
    if u.ratio(1, 6)? {
        cursor.insert(u.int_in_range(0..=slots - 1)?);
    }
    let mut text = cursor.to_string();
    if u.ratio(1, 20)? {
        text.push('0');
    }
    Ok(Pull {
        id: PullId(u.arbitrary()?),
        cursor: text,
        version: Version(u.int_in_range(0..=6)?),
        until: now.plus(Millis(u.int_in_range(0..=4)?)),
    })
}

/// Picks an attempt in flight, or sometimes an arbitrary number.
fn attempt(u: &mut Unstructured, naive: &NaiveStep, slot: SlotKey) -> Result<u32> {
    let live = naive.live(slot);
    match live.is_empty() || u.ratio(1, 8)? {
        true => u.int_in_range(0..=4),
        false => Ok(u.choose(&live)?.0),
    }
}

#[test]
fn step_matches_a_log_of_events() {
    use oleanderlock::step_action::StepAction;
    let (mut delivered, mut actions_seen) = (0, 0);
    check(|u| {
        let sizes: Vec<u32> = (0..u.int_in_range(1..=3)?)
            .map(|_| u.int_in_range(1..=4))
            .collect::<Result<_>>()?;
        let config = config(u, &sizes)?;
        let mut naive = NaiveStep::new(config.clone(), &sizes);
        let mut now = Millis(0);
        let mut last = String::new();
        let mut out = Vec::new();
        let mut step = match u.arbitrary()? {
            true => {
                naive.open(now);
                Step::open(now, config.clone(), Version(0), &mut out)
            }
            false => Step::recover(config.clone(), Version(0)),
        }
        .expect("the step fits its limits");
        for _ in 0..120 {
            now = now.plus(Millis(u.int_in_range(0..=1)?));
            let position = u.int_in_range(0..=config.shape.slots() - 1)?;
            let slot = config
                .shape
                .slot(position)
                .expect("the position is in range");
            assert_eq!(config.shape.position(slot), Some(position));
            match u.int_in_range(0..=12)? {
                0..=2 => {
                    let pull = pull(u, now, &config, &last)?;
                    step.pull(now, pull.clone(), &mut out);
                    naive.pull(now, pull);
                }
                3..=7 => {
                    let attempt = attempt(u, &naive, slot)?;
                    let answer = sample(u)?;
                    step.settle(now, slot, attempt, answer.clone(), &mut out);
                    naive.settle(now, slot, attempt, answer);
                }
                8 => {
                    let attempt = attempt(u, &naive, slot)?;
                    let retry_at = now.plus(Millis(u.int_in_range(0..=3)?));
                    step.fail(now, slot, attempt, retry_at, &mut out);
                    naive.fail(now, slot, attempt, retry_at);
                }
                9 => {
                    let attempt = attempt(u, &naive, slot)?;
                    let version = Version(u.int_in_range(0..=6)?);
                    step.progress(now, slot, attempt, version, &mut out);
                    naive.progress(now, slot, attempt, version);
                }
                10 => {
                    step.hedge(now, slot, &mut out);
                    naive.hedge(now, slot);
                }
                _ => {
                    step.tick(now, &mut out);
                    naive.tick(now);
                }
            }
            assert_eq!(out, naive.take_actions());
            assert_eq!(step.remaining(), naive.remaining());
            assert_eq!(
                (step.settled(), step.in_flight()),
                (naive.settled(), naive.in_flight())
            );
            assert_eq!(
                (step.bytes(), step.next_tick()),
                (naive.bytes(), naive.next_tick())
            );
            assert!(step.bytes() <= config.limits.payload_bytes);
            assert_eq!(step.stragglers(now), naive.stragglers(now));
            actions_seen += out.len();
            for action in out.drain(..) {
                if let StepAction::Deliver { answer, .. } = action {
                    delivered += answer.samples.len();
                    last = answer.cursor;
                }
            }
        }
        Ok(())
    });
    println!("actions={actions_seen} delivered={delivered}");
    assert!(delivered > 1000);
}
