//! Documents described by their differences.

use bytes::Bytes;
use dotterelhoist_fleet::patch::{Original, Patch};
use proptest::prelude::*;
use rstest::rstest;

/// A document of some kilobytes with random names.
fn document(version: u64, names: &[u32]) -> Original {
    let lines = names.iter().map(|name| format!("route r-{name} to the service desk\n"));
    Original { version, body: lines.collect::<String>().into() }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]

    #[test]
    fn patch_between_any_documents_gives_the_newer(
        names in prop::collection::vec(any::<u32>(), 0..400),
        changed in any::<prop::sample::Index>(),
        added in prop::collection::vec(any::<u32>(), 0..50),
    ) {
        let base = document(1, &names);
        let mut newer = names.clone();
        if !newer.is_empty() {
            let at = changed.index(newer.len());
            newer[at] = newer[at].wrapping_add(1);
        }
        newer.extend(added);
        let newer = document(2, &newer);
        let patch = Patch::between(&base, &newer).expect("it can be compressed");
        prop_assert_eq!(patch.apply(&base).expect("it can be applied"), newer);
    }

    #[test]
    fn patch_with_any_damage_is_an_error_or_another_document_but_no_panic(
        at in any::<prop::sample::Index>(),
        bits in 1u8..,
        length in 0u64..5000,
    ) {
        let base = document(1, &(0..80).collect::<Vec<u32>>());
        let newer = document(2, &(7..120).collect::<Vec<u32>>());
        let mut patch = Patch::between(&base, &newer).expect("it can be compressed");
        let mut bytes = patch.difference.to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= bits;
        patch.difference = Bytes::from(bytes);
        patch.length = length;
        patch.apply(&base).ok();
    }
}

#[rstest]
#[case::one_megabyte(30_000)]
#[case::four_megabytes(120_000)]
fn patch_of_a_large_document_with_one_change_is_small(#[case] routes: u64) {
    let names: Vec<u32> = (0..routes).map(|name| (name * 2_654_435 % 999_983) as u32).collect();
    let mut changed = names.clone();
    changed[20_000] += 1;
    let (base, newer) = (document(1, &names), document(2, &changed));
    let patch = Patch::between(&base, &newer).expect("it can be compressed");
    let size = patch.difference.len();
    assert!(size < 1000, "{size} of {} bytes", newer.body.len());
}

#[test]
fn patch_to_another_version_than_its_base_is_an_error() {
    let (base, newer) = (document(1, &[1, 2]), document(3, &[1, 2, 3]));
    let patch = Patch::between(&base, &newer).expect("it can be compressed");
    assert!(patch.apply(&document(2, &[1, 2])).is_err());
}

#[test]
fn patch_that_states_an_absurd_length_is_an_error() {
    let patch = Patch { version: 2, length: u64::MAX, ..Patch::default() };
    assert!(patch.apply(&Original::default()).is_err());
}
