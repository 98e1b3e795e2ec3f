# Guards against requests and parts of prompts that are barred because engines end
# again and again for other reasons.
. "$(dirname "${BASH_SOURCE[0]}")/deadly.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
ENGINES=6
DEADLY_RESTART_MS=500 start_part_platform $ENGINES

# sound_loop SECONDS: sends streams with a common first part and one of 12 second
# parts.
sound_loop() {
    local end=$(($(date +%s) + $1)) i=0
    while [ "$(date +%s)" -lt "$end" ]; do
        i=$((i + 1))
        stream_prompt $((i % 2 + 1)) "f1:60,c$((i % 12)):400" "sound-$BASHPID-$i" >>sound.answers &
        sleep 0.04
    done
    wait
}

# end_engine N: ends engine N, which its supervisor starts again.
end_engine() {
    # shellcheck disable=SC2046
    kill -KILL $(pgrep -P "$(pid "engine-$1")") 2>/dev/null
}

sound_loop 24 &
loop=$!
sleep 2
# All in turn, then all at once.
for ((i = 0; i < 40; i++)); do
    end_engine $((31 + i % ENGINES))
    sleep 0.25
done
for ((i = 0; i < 3; i++)); do
    for ((n = 31; n < 31 + ENGINES; n++)); do
        end_engine $n
    done
    sleep 2
done
wait $loop
echo "ends counted: $(grep -c '"Endpoint ended' gateway1.log)" >&2
echo "largest number of crashes: $(grep -ho '"crashes":[0-9]*' gateway?.log | sort -t: -k2n | tail -n 1)" >&2
print_sound_result
