//! Frames: complete, fragmented, too large, and malformed.

use grebepin_reactor::{encode_frame, take_frame, FrameError, MAX_FRAME_BYTES};

#[test]
fn frames_round_trip_however_they_are_fragmented() {
    let mut bytes = Vec::new();
    encode_frame(&"first".to_owned(), &mut bytes).expect("encodes");
    encode_frame(&"second".to_owned(), &mut bytes).expect("encodes");
    let mut buffer = Vec::new();
    let mut seen: Vec<String> = Vec::new();
    for byte in bytes {
        buffer.push(byte);
        while let Some(text) = take_frame(&mut buffer).expect("decodes") {
            seen.push(text);
        }
    }
    assert_eq!(seen, vec!["first".to_owned(), "second".to_owned()]);
}

#[test]
fn a_frame_over_the_limit_is_rejected_by_its_length_prefix() {
    let mut buffer = ((MAX_FRAME_BYTES + 1) as u32).to_be_bytes().to_vec();
    let refused = take_frame::<String>(&mut buffer);
    assert!(matches!(refused, Err(FrameError::TooLong { .. })));
}

#[test]
fn bytes_of_another_type_are_rejected() {
    let mut buffer = Vec::new();
    encode_frame(&7_u64, &mut buffer).expect("encodes");
    assert!(matches!(
        take_frame::<String>(&mut buffer),
        Err(FrameError::Decode(_))
    ));
}
