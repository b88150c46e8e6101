# Functions that start and stop one deployment of examples/ on loopback, with stand-ins for the platform. Sourced by
# scripts/demo, scripts/record, scripts/soak and scripts/up.
#
#   fleet_init NAME DIR PORT      writes the settings of examples/NAME to DIR; ports begin at PORT
#   fleet_start_all               starts all processes and waits until routers and sidecars are ready
#   fleet_start NAME              starts one process; fleet_signal NAME SIGNAL; fleet_wait_gone NAME
#   fleet_stop_all                ends the processes started here, by process id
#   fleet_apply                   applies the declarations in DIR/teams; ctl TEAM COMMAND... runs damaskhillctl
#
# Process names: store, router-{a,b,c}, engine-{1..12}, sidecar-{1..12} (of the engines), app-{1..3}, appcar-{1..3}
# (sidecars of the apps). Engine or app N is in the data centre whose letter has index N mod 3.

bin=build/release/bin
zones=(a b c)
engines=12
apps=3
declare -A fleet_pid=() fleet_starts=()

fleet_init() {
  deployment=examples/$1 dir=$2 base=$3
  # shellcheck disable=SC1091
  source "$deployment/deployment.conf"
  mkdir -p "$dir"/{settings,log,recordings}
  cp -r "$deployment/teams" "$dir/"
  store_url=http://127.0.0.1:$base
  local z vms=()
  for z in "${!zones[@]}"; do
    fleet_router_settings "${zones[z]}" "$z"
    vms+=("$(fleet_vm "router-${zones[z]}" $((base + 10 + z)) router "$z" "" $((base + 1 + z)))")
  done
  for ((i = 1; i <= engines; i++)); do
    fleet_sidecar_settings "sidecar-$i" "$i" 30 "$model" model_engine
    vms+=("$(fleet_vm "sidecar-$i" $((base + 30 + i)) sidecar $((i % 3)) "$model" $((base + 50 + i)))")
  done
  for ((i = 1; i <= apps; i++)); do
    fleet_sidecar_settings "appcar-$i" "$i" 130 "$service" service
    vms+=("$(fleet_vm "appcar-$i" $((base + 130 + i)) sidecar $((i % 3)) "$service" $((base + 140 + i)))")
  done
  vm_lines=("${vms[@]}")
  routers=http://127.0.0.1:$((base + 1)),http://127.0.0.1:$((base + 2)),http://127.0.0.1:$((base + 3))
  run_logs=$dir/runs-1.log,$dir/runs-2.log,$dir/runs-3.log
}

fleet_vm() { # name, link port, role, index of the data centre, pool, HTTP port
  printf '{"name":"%s","address":"127.0.0.1:%s","role":"%s","data_centre":"%s-%s","pool":"%s","http":"127.0.0.1:%s"}' \
    "$1" "$2" "$3" "$region" "${zones[$(($4 % ${#zones[@]}))]}" "$5" "$6"
}

fleet_router_settings() { # letter of the data centre, index
  cat >"$dir/settings/router-$1.json" <<JSON
{
  "name": "router-$1",
  "data_centre": "$region-$1",
  "http_address": "127.0.0.1:$((base + 1 + $2))",
  "link_address": "127.0.0.1:$((base + 10 + $2))",
  "store_url": "$store_url",
  "link_keys": [{ "number": 1, "secret": "example-link-secret-1" }],
  "trace_file": "$dir/log/router-$1.spans"
}
JSON
}

# Port offsets of a target's VM: links, metrics, target at +30, +50, +70 (engines) and +130, +140, +150 (apps).
fleet_sidecar_settings() { # name, number, offset, pool, kind
  local step=20
  [[ $5 == service ]] && step=10
  cat >"$dir/settings/$1.json" <<JSON
{
  "name": "$1",
  "data_centre": "$region-${zones[$(($2 % ${#zones[@]}))]}",
  "link_address": "127.0.0.1:$((base + $3 + $2))",
  "metrics_address": "127.0.0.1:$((base + $3 + step + $2))",
  "pool": "$4",
  "version": "v1",
  "kind": "$5",
  "target_url": "http://127.0.0.1:$((base + $3 + 2 * step + $2))",
  "link_keys": [{ "number": 1, "secret": "example-link-secret-1" }]
}
JSON
}

# URLs of engine N, app N and the router of a data centre's letter.
engine_url() { echo "http://127.0.0.1:$((base + 70 + $1))"; }
app_url() { echo "http://127.0.0.1:$((base + 150 + $1))"; }
router_url() { case $1 in a) echo "http://127.0.0.1:$((base + 1))" ;; b) echo "http://127.0.0.1:$((base + 2))" ;; c) echo "http://127.0.0.1:$((base + 3))" ;; esac; }

fleet_start() { # name
  local name=$1 kind=${1%%-*} number=${1##*-} record=() command
  fleet_starts[$name]=$((${fleet_starts[$name]:-0} + 1))
  [[ " ${fleet_record:-} " == *" $kind "* ]] && record=(--record "$dir/recordings/$name.${fleet_starts[$name]}.jsonl")
  case $kind in
    store) command=("$bin/standin_store" --address "127.0.0.1:$base") ;;
    engine) command=("$bin/standin_engine" --address "127.0.0.1:$((base + 70 + number))" --seed "$number" --version v1) ;;
    app) command=("$bin/standin_service" --address "127.0.0.1:$((base + 150 + number))" --run-log "$dir/runs-$number.log") ;;
    router) command=("$bin/damaskhill_router" --settings "$dir/settings/$name.json" "${record[@]}") ;;
    *) command=("$bin/damaskhill_sidecar" --settings "$dir/settings/$name.json" "${record[@]}") ;;
  esac
  "${command[@]}" >>"$dir/log/$name.log" 2>&1 &
  fleet_pid[$name]=$!
  disown
}

fleet_signal() { kill "-$2" "${fleet_pid[$1]}" 2>/dev/null || true; }
fleet_alive() { kill -0 "${fleet_pid[$1]:-0}" 2>/dev/null; }

fleet_wait_gone() { # name, seconds
  local i
  for ((i = 0; i < ${2:-10} * 20; i++)); do
    fleet_alive "$1" || return 0
    sleep 0.05
  done
  return 1
}

fleet_wait_ready() { # URL, seconds
  local i
  for ((i = 0; i < ${2:-15} * 20; i++)); do
    curl -sf -m 1 -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "$1 did not become ready" >&2
  return 1
}

fleet_list_vms() {
  local joined
  joined=$(IFS=,; echo "${vm_lines[*]}")
  curl -sf -m 2 -o /dev/null -X PUT -d "{\"vms\":[$joined]}" "$store_url/v1/vms"
}

ctl() { # team, command and arguments
  "$bin/damaskhillctl" --store "$store_url" --team "$1" --root "$dir" "${@:2}" >>"$dir/log/ctl.log" 2>&1
}

fleet_apply() {
  local team
  for team in $teams; do ctl "$team" apply || return 1; done
}

fleet_start_all() {
  local i z
  fleet_start store
  fleet_wait_ready "$store_url/v1/vms"
  fleet_list_vms
  fleet_apply
  for ((i = 1; i <= engines; i++)); do fleet_start "engine-$i"; fleet_start "sidecar-$i"; done
  for ((i = 1; i <= apps; i++)); do fleet_start "app-$i"; fleet_start "appcar-$i"; done
  for z in "${zones[@]}"; do fleet_start "router-$z"; done
  for z in "${zones[@]}"; do fleet_wait_ready "$(router_url "$z")/readyz"; done
  for ((i = 1; i <= engines; i++)); do fleet_wait_ready "http://127.0.0.1:$((base + 50 + i))/readyz"; done
  for ((i = 1; i <= apps; i++)); do fleet_wait_ready "http://127.0.0.1:$((base + 140 + i))/readyz"; done
}

fleet_stop_all() {
  local name
  for name in "${!fleet_pid[@]}"; do
    kill -CONT "${fleet_pid[$name]}" 2>/dev/null || true
    kill -TERM "${fleet_pid[$name]}" 2>/dev/null || true
  done
  for name in "${!fleet_pid[@]}"; do
    fleet_wait_gone "$name" 2 || kill -KILL "${fleet_pid[$name]}" 2>/dev/null || true
  done
  fleet_pid=()
}
