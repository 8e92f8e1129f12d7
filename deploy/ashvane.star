# Our own settings, a Starlark script: `ashvane serve --settings deploy/ashvane.star`. What is left out follows
# from the platform's limits. `ashvane check --settings FILE` lists all faults. docs/memory.md has each key.
#
# Known here: KB, MB, and MEMORY, the platform's limit in bytes.

# Where /memory and /metrics are answered. Loopback only; none without this line.
admin(listen = "127.0.0.1:9300")

# Lines on standard error: "text" or "json".
log(form = "text", lines_a_second = 50)

# What all purposes may take together. Caps and reserves scale with it.
memory(total = MEMORY * 55 // 100)

# Single caps. What clients fill (bodies, queries, values, answers) has its whole cap reserved unless a
# reserve is stated, so that every tenant finds its share; the reserves must fit into the total.
for purpose in ["values", "answers"]:
    cap(purpose = purpose, bytes = MEMORY * 9 // 100)

# Keepers of who owns what on behalf of the fleet; without this line this gatherer talks with none. docs/fleet.md.
# fleet(keepers = {1: "127.0.0.1:9401", 2: "127.0.0.1:9402", 3: "127.0.0.1:9403"}, lease_ms = 3000, drift_ppm = 10000,
#       every_ms = 1000)
