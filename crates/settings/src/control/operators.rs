//! Checks of the trusted operators and of the number of sign-offs.

use ed25519_dalek::VerifyingKey;
use grebepin_schema::TrustedOperator;

use crate::error::ProblemKind;
use crate::problems::Problems;

const MAX_SIGNATURES: u64 = 100;

/// Reports duplicate names and keys, invalid public keys, and a number of required sign-offs that is out of
/// range or greater than the number of operators.
pub(super) fn check(operators: &[TrustedOperator], required: u32, problems: &mut Problems) {
    let names: Vec<_> = operators.iter().map(|one| one.name.as_str()).collect();
    let keys: Vec<_> = operators
        .iter()
        .map(|one| one.public_key.as_str())
        .collect();
    problems.check_distinct("operators.name", &names);
    problems.check_distinct("operators.public_key", &keys);
    for operator in operators {
        if !is_public_key(&operator.public_key) {
            let field = format!("operators[{}].public_key", operator.name.as_str());
            problems.push(field, ProblemKind::InvalidPublicKey);
        }
    }
    let field = "required_signatures";
    problems.check_range(field, required.into(), 1, MAX_SIGNATURES);
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
