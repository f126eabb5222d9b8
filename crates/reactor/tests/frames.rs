//! Frames: whole, in pieces, too long, and no frames at all.

use grebepin_reactor::{encode_frame, take_frame, FrameError, MAXIMUM_FRAME_BYTES};

#[test]
fn frames_come_out_as_they_went_in_however_they_are_cut() {
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
fn a_frame_over_the_limit_is_refused_before_it_is_read() {
    let mut buffer = ((MAXIMUM_FRAME_BYTES + 1) as u32).to_be_bytes().to_vec();
    let refused = take_frame::<String>(&mut buffer);
    assert!(matches!(refused, Err(FrameError::TooLong { .. })));
}

#[test]
fn bytes_of_another_type_are_refused() {
    let mut buffer = Vec::new();
    encode_frame(&7_u64, &mut buffer).expect("encodes");
    assert!(matches!(
        take_frame::<String>(&mut buffer),
        Err(FrameError::Decode(_))
    ));
}
