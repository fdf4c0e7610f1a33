//! Verification, withdrawal and parsing of team keys.

mod support;

use assert_matches::assert_matches;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::fleet::{FleetChange, FleetState, TeamRecord};
use sesamedeal_core::ids::TeamName;
use sesamedeal_core::keys::{
    KeyRefusal, KeySecret, PresentedKey, check_key, mint_key, recheck_key,
};
use support::apply;

fn granted_key() -> (FleetState, PresentedKey) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let team = TeamName::new("arima");
    let (key, record) = mint_key(team.clone(), &mut rng);
    let mut state = FleetState::default();
    let changes = vec![
        FleetChange::PutTeam {
            name: team,
            team: TeamRecord { share: 1, limit: 1 },
        },
        FleetChange::GrantKey {
            id: key.id.clone(),
            key: record,
        },
    ];
    apply(&mut state, changes).unwrap();
    (state, key)
}

/// Guards against accepting a key with a wrong secret, or rejecting it with the right one. Each
/// wrong secret differs from the right one in a single bit.
#[test]
fn secret_verified() {
    let (state, key) = granted_key();
    assert_matches!(check_key(&state, &key), Ok(team) if team.as_str() == "arima");
    for bit in 0..256 {
        let mut bytes = [0; 32];
        for (byte, pair) in bytes
            .iter_mut()
            .zip(key.secret.reveal().as_bytes().chunks(2))
        {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        }
        bytes[bit / 8] ^= 1 << (bit % 8);
        let wrong = PresentedKey {
            id: key.id.clone(),
            secret: KeySecret::new(bytes),
        };
        assert_eq!(check_key(&state, &wrong), Err(KeyRefusal::Invalid));
    }
}

/// Guards against accepting a withdrawn key on arrival or at dispatch, and against revealing to a
/// caller without the secret that the id exists.
#[test]
fn withdrawn_rejected() {
    let (mut state, key) = granted_key();
    let withdraw = FleetChange::WithdrawKey { id: key.id.clone() };
    apply(&mut state, vec![withdraw]).unwrap();
    assert_eq!(check_key(&state, &key), Err(KeyRefusal::Withdrawn));
    assert_eq!(recheck_key(&state, &key.id), Err(KeyRefusal::Withdrawn));
    let wrong = PresentedKey {
        secret: KeySecret::new([0; 32]),
        ..key
    };
    assert_eq!(check_key(&state, &wrong), Err(KeyRefusal::Invalid));
}

/// Guards against leaking secrets through `Debug` output or the stored state.
#[test]
fn secret_hidden() {
    let (state, key) = granted_key();
    let secret = key.secret.reveal();
    let shown = format!("{key:?} {:?} {state:?}", key.secret);
    let stored = serde_json::to_string(&state).unwrap();
    assert!(!shown.contains(&secret) && !stored.contains(&secret));
    assert!(shown.contains("KeySecret(..)"));
}

/// Guards against header values that are parsed wrongly, accepted though malformed, or cause a
/// panic.
#[test]
fn header_parsed() {
    let (_, key) = granted_key();
    let read = PresentedKey::with_header(&key.header()).unwrap();
    assert_eq!(read.id, key.id);
    assert_eq!(read.secret.reveal(), key.secret.reveal());
    let secret = key.secret.reveal();
    for value in [
        String::new(),
        "Bearer".to_owned(),
        "Bearer .".to_owned(),
        format!("Bearer .{secret}"),
        format!("Basic a.{secret}"),
        format!("Bearer a.{}", &secret[1..]),
        format!("Bearer a.{}é", &secret[2..]),
        format!("Bearer a.{}+1", &secret[2..]),
    ] {
        assert!(PresentedKey::with_header(&value).is_none(), "{value:?}");
    }
}
