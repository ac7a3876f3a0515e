//! Keys of the members' registrations.

use coltsfoothall_forward::membership::parse_key;

#[test]
fn member_key() {
    let (domain, name) = parse_key("north/entry-1").unwrap();
    assert_eq!((domain.as_str(), name.as_str()), ("north", "entry-1"));
}

/// Guards against an entry of another writer that counts as the registration of the member with which
/// its key ends, so that its removal withdraws that member.
#[test]
fn foreign_key() {
    for key in [
        "entry-1",
        "",
        "/",
        "north/",
        "/entry-1",
        "north/x/entry-1",
        "north/entry 1",
        "n%/e",
        "north/é",
    ] {
        assert_eq!(parse_key(key), None, "{key:?}");
    }
}
