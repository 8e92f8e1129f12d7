use serde_json::json;

use super::table;

#[test]
fn tables_are_as_wide_as_their_words() {
    let rows = [json!({"a": "x", "b": 12}), json!({"a": "long", "b": null})];
    assert_eq!(table(&rows), "a     b\nx     12\nlong  -\n");
    assert_eq!(table(&[]), "none\n");
}
