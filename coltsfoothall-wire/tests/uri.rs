//! Text in paths and queries of URIs.

use coltsfoothall_wire::uri::{self, Target};
use hyper::Uri;
use proptest::prelude::*;

proptest! {
    /// Guards against text that changes the URI around it, or cannot be sent in one.
    #[test]
    fn any_text(first in any::<String>(), second in "[a-c%&+#=?;/ ]{0,8}", path in any::<String>()) {
        let target = Target::new("/v1/kv").segment(&path).with("a", &first).with("b", &second);
        let read: Uri = format!("http://127.0.0.1:1{target}").parse().unwrap();
        let query = read.query().unwrap();
        prop_assert_eq!(uri::parameter(query, "a"), Some(first));
        prop_assert_eq!(uri::parameter(query, "b"), Some(second));
        let segment = read.path().strip_prefix("/v1/kv/").unwrap();
        prop_assert!(!segment.contains('/'));
        prop_assert_eq!(uri::decode(segment), path.as_str());
    }
}

#[test]
fn parameter_forms() {
    let query = "name=h.example&zone=a%3Ab+c&zone=d&bad=%zz%";
    assert_eq!(uri::parameter(query, "zone").as_deref(), Some("a:b c"));
    assert_eq!(uri::parameter(query, "bad").as_deref(), Some("%zz%"));
    assert_eq!(uri::parameter(query, "none"), None);
    let nested = Target::new("/v1/list").join("a/b c");
    assert_eq!(nested.as_str(), "/v1/list/a/b%20c");
}
