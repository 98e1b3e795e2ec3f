# Guards against a process that starts with faulty settings: before any port is
# opened, each fault is reported with file, line and expected value, and the
# exit status is 2.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

check() {
    echo "-- $1"
    cat >settings.yaml
    "$LL_BUILD/src/daemon/laurelliftd" --check-config settings.yaml 2>&1
    echo "exit $?"
}

head_lines() {
    cat <<'EOF'
name: a
region: r
zone: z
control_hosts:
  - { id: 1, address: "127.0.0.1:7301", admin: "127.0.0.1:7401" }
EOF
}

{ head_lines; echo 'entry: { http: "127.0.0.1:8080" }'; } | check "valid"
{ head_lines; echo 'colour: red'; } | check "unknown key"
{ head_lines; printf 'entry:\n  http: "127.0.0.1:8080"\n  colour: red\n'; } | check "unknown key inside a role"
head_lines | grep -v zone | check "missing field"
head_lines | sed 's/127.0.0.1:7301/localhost:7301/' | check "host name instead of an address"
head_lines | sed 's/127.0.0.1:7401/127.0.0.1/' | check "address without a port"
head_lines | sed 's/id: 1/id: one/' | check "word instead of a number"
head_lines | check "no role"
{ head_lines; printf 'control: { id: 2, data_dir: d }\n'; } | check "control host not listed"
{ head_lines; printf 'log_level: loud\n'; } | check "unknown log level"
printf '\tname: [' | check "not YAML"
echo "-- missing file"
"$LL_BUILD/src/daemon/laurelliftd" nothere.yaml 2>&1
echo "exit $?"
