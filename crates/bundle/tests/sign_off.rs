//! Tests of the digest and the sign-off of bundles.

mod common;

use std::collections::BTreeMap;

use common::{changed, recife, RECIFE};
use grebepin_bundle::{digest, parse_signing_key, public_key, sign, verify, KeyError, VerifyError};
use grebepin_schema::{Bundle, OperatorName, Signature, SignedBundle, TrustedOperator};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

fn name(text: &str) -> OperatorName {
    text.parse().expect("a name")
}

fn key(number: u8) -> grebepin_bundle::SigningKey {
    grebepin_bundle::SigningKey::from_bytes(&[number; 32])
}

fn operator(text: &str, number: u8) -> TrustedOperator {
    TrustedOperator {
        name: name(text),
        public_key: public_key(&key(number)),
    }
}

fn signed(bundle: Bundle, signatures: Vec<Signature>) -> SignedBundle {
    SignedBundle { bundle, signatures }
}

#[test]
fn the_digest_depends_on_the_content_and_not_on_the_layout() {
    let bundle = recife();
    let compact = RECIFE.replace("\n", "");
    let without_default = RECIFE.replace(",\n          \"weight\": 100", "");
    assert_ne!(without_default, RECIFE);
    for text in [compact, without_default] {
        let same: Bundle = serde_json::from_str(&text).expect("parses");
        assert_eq!(digest(&same), digest(&bundle));
    }
    let next: Bundle =
        serde_json::from_str(include_str!("../../../deployments/recife/bundle-2.json")).unwrap();
    assert_eq!(
        next.parent,
        Some(digest(&bundle)),
        "computed by another program"
    );
}

/// Writes JSON without white space and with fields sorted by name, independently of the generated types.
fn sorted(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields: BTreeMap<_, _> = fields.iter().collect();
            let fields = fields
                .iter()
                .map(|(name, value)| format!("{name:?}:{}", sorted(value)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
        }
        Value::Array(items) => {
            let items = items.iter().map(sorted);
            format!("[{}]", items.collect::<Vec<_>>().join(","))
        }
        scalar => scalar.to_string(),
    }
}

#[test]
fn the_canonical_form_sorts_the_fields() {
    let changes = [
        ("/parent", json!("0".repeat(64))),
        ("/note", json!("açúcar \"x\" \n")),
    ];
    for bundle in [recife(), changed(&recife(), &changes)] {
        let value = serde_json::to_value(&bundle).expect("encodes");
        let bytes = grebepin_bundle::canonical_bytes(&bundle);
        assert_eq!(String::from_utf8(bytes).expect("UTF-8"), sorted(&value));
    }
}

#[test]
fn sign_off_counts_distinct_trusted_keys() {
    let bundle = recife();
    let trusted = [
        operator("aline", 1),
        operator("bento", 2),
        operator("cida", 2),
    ];
    let by = |text: &str, number| sign(&bundle, &name(text), &key(number));
    let other = changed(&bundle, &[("/version", json!(9))]);
    let over_another = sign(&other, &name("aline"), &key(1));
    let too_few = |valid, required, untrusted: &[&str]| VerifyError::TooFewSignatures {
        valid,
        required,
        untrusted: untrusted.iter().map(|text| name(text)).collect(),
    };
    let bad = |text| VerifyError::BadSignature {
        operator: name(text),
    };
    let cases = vec![
        (
            "two of two",
            vec![by("aline", 1), by("bento", 2)],
            2,
            Ok(()),
        ),
        (
            "one of one, with an untrusted signer",
            vec![by("aline", 1), by("eve", 9)],
            1,
            Ok(()),
        ),
        ("none", vec![], 1, Err(too_few(0, 1, &[]))),
        (
            "none, though none is required",
            vec![],
            0,
            Err(too_few(0, 1, &[])),
        ),
        (
            "the same signature twice",
            vec![by("aline", 1), by("aline", 1)],
            2,
            Err(too_few(1, 2, &[])),
        ),
        (
            "one key under two names",
            vec![by("bento", 2), by("cida", 2)],
            2,
            Err(too_few(1, 2, &[])),
        ),
        (
            "an untrusted signer",
            vec![by("aline", 1), by("eve", 9)],
            2,
            Err(too_few(1, 2, &["eve"])),
        ),
        (
            "another key under a trusted name",
            vec![by("aline", 9)],
            1,
            Err(bad("aline")),
        ),
        (
            "signature over another bundle",
            vec![over_another, by("bento", 2)],
            1,
            Err(bad("aline")),
        ),
    ];
    for (case, signatures, required, expected) in cases {
        let result = verify(&signed(bundle.clone(), signatures), &trusted, required);
        assert_eq!(result, expected.map(|()| digest(&bundle)), "{case}");
    }
}

#[test]
fn keys_have_a_text_form() {
    let text = grebepin_bundle::signing_key_text(&key(3));
    assert_eq!(parse_signing_key(&format!(" {text}\n")).unwrap(), key(3));
    assert_eq!(
        parse_signing_key("zz").unwrap_err(),
        KeyError::NotHexadecimal
    );
    assert_eq!(
        parse_signing_key("00ff").unwrap_err(),
        KeyError::WrongLength { bytes: 2 }
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_change_changes_the_digest(version in 2u64.., share in 51u32..1000, note in ".{1,40}") {
        let bundle = recife();
        let changes = [
            ("/version", json!(version)),
            ("/services/0/sides/0/share", json!(share)),
            ("/note", json!(note)),
        ];
        for change in &changes {
            let other = changed(&bundle, std::slice::from_ref(change));
            prop_assert_ne!(digest(&other), digest(&bundle));
        }
    }

    #[test]
    fn no_bytes_make_the_verifier_panic(text in "[0-9a-f]{128}") {
        let signature = Signature {
            operator: name("aline"),
            signature: text.parse().unwrap(),
        };
        let result = verify(&signed(recife(), vec![signature]), &[operator("aline", 1)], 1);
        prop_assert!(result.is_err());
    }
}
