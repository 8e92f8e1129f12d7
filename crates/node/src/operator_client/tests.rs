use serde_json::json;

use super::format_table;

#[test]
fn columns_are_as_wide_as_their_longest_cell() {
    let rows = [json!({"a": "x", "b": 12}), json!({"a": "long", "b": null})];
    assert_eq!(format_table(&rows), "a     b\nx     12\nlong  -\n");
    assert_eq!(format_table(&[]), "none\n");
}
