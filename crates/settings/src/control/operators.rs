//! Operators whose signatures count.

use ed25519_dalek::VerifyingKey;
use grebepin_schema::TrustedOperator;

use crate::error::ProblemKind;
use crate::problems::Problems;

const MAXIMUM_SIGNATURES: u64 = 100;

/// Notes names or keys that stand twice, keys that are none, and sign-offs that can't be had.
pub(super) fn check(operators: &[TrustedOperator], required: u32, problems: &mut Problems) {
    let names: Vec<_> = operators.iter().map(|one| one.name.as_str()).collect();
    let keys: Vec<_> = operators
        .iter()
        .map(|one| one.public_key.as_str())
        .collect();
    problems.distinct("operators.name", &names);
    problems.distinct("operators.public_key", &keys);
    for operator in operators {
        if !is_public_key(&operator.public_key) {
            let field = format!("operators[{}].public_key", operator.name.as_str());
            problems.push(field, ProblemKind::InvalidPublicKey);
        }
    }
    let field = "required_signatures";
    problems.range(field, required.into(), 1, MAXIMUM_SIGNATURES);
    if required as usize > operators.len() {
        let operators = operators.len();
        let kind = ProblemKind::TooFewOperators {
            required,
            operators,
        };
        problems.push(field, kind);
    }
}

fn is_public_key(text: &str) -> bool {
    let Some(bytes) = hex::decode(text)
        .ok()
        .and_then(|bytes| bytes.try_into().ok())
    else {
        return false;
    };
    VerifyingKey::from_bytes(&bytes).is_ok_and(|key| !key.is_weak())
}
