//! The rehearsal scripts built into `ashvane-rehearse`.

/// Built-in rehearsals: name and TOML text.
pub const ALL: [(&str, &str); 8] = [
    ("cold-start", include_str!("../rehearsals/cold-start.toml")),
    ("mass-kill", include_str!("../rehearsals/mass-kill.toml")),
    ("split", include_str!("../rehearsals/split.toml")),
    ("slow-server", include_str!("../rehearsals/slow-server.toml")),
    ("late-waker", include_str!("../rehearsals/late-waker.toml")),
    ("list-trouble", include_str!("../rehearsals/list-trouble.toml")),
    ("owner", include_str!("../rehearsals/owner.toml")),
    ("flap", include_str!("../rehearsals/flap.toml")),
];
