package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.Failures;

/**
 * Keeps the fleet view of an entry up to date through other entries (peers) while its own calls to
 * the log service fail.
 *
 * <p>The log service may respond to some entries and not to others. Entries tell each other how far
 * they have read the operator log; an entry that has read less fetches the records from one that
 * has read more. Confined to the event loop of its owner, except for {@link #connectivity}, which
 * threads of callers use too.
 */
final class PeerFleetSync {
    /** Time to wait for the snapshot of a peer. */
    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(800);

    /**
     * Minimum time between two rounds of hello messages to peers while calls to the log service
     * fail.
     */
    private static final long ASK_INTERVAL_MILLIS = 300;

    /**
     * If the fleet view is older, peers are asked. While calls succeed, the follower receives a
     * response of the log service every second.
     */
    private static final long MAX_VIEW_AGE_MILLIS = 1_200;

    /**
     * Maximum number of peers that are asked in one round, or asked one after the other to store a
     * request, regardless of how many there are.
     */
    private static final int MAX_PEERS_ASKED = 3;

    /**
     * This entry counts as cut off after three rounds of hello messages without a response of any
     * peer.
     */
    private static final long CUT_OFF_AFTER_MILLIS = 1_000;

    /**
     * Maximum age of a peer's report that the log service responds to it, for the peer to be asked
     * to store requests. Entries exchange hello messages with the dispatcher every 400 ms, and with
     * other peers every 300 ms while calls to the log service fail.
     */
    private static final long MAX_LOG_ACCESS_REPORT_AGE_MILLIS = 1_500;

    /**
     * Maximum age of a hello response in which a peer reports that the log service responds to it,
     * for this entry to count as reaching the log service through that peer.
     */
    private static final long MAX_LOG_ACCESS_RESPONSE_AGE_MILLIS = 1_000;

    private final FleetFollower follower;
    private final HttpClient http;
    private final Consumer<String> sendHello;
    private final Executor loop;

    /**
     * The monotonic time of the last round of hello messages. The initial value is long ago, but
     * the time elapsed since then does not overflow.
     */
    private long lastAskedMillis = Long.MIN_VALUE / 2;

    private final Map<String, Long> lastHelloMillis = new HashMap<>();
    private final Map<String, Long> lastLogAccessMillis = new HashMap<>();
    private boolean fetching;

    /** The monotonic time since which peers are asked; -1 while they are not asked. */
    private volatile long askingSinceMillis = -1;

    // The initial values are long ago, but the time elapsed since then does not overflow.
    private volatile long lastResponseMillis = Long.MIN_VALUE / 2;
    private volatile long lastLogAccessResponseMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an instance.
     *
     * @param follower follows the operator log
     * @param http fetches records from peers
     * @param sendHello sends a hello message to a peer; the response must be passed to {@link
     *     #onHelloResponse}
     * @param loop the event loop of the owner
     */
    PeerFleetSync(
            FleetFollower follower, HttpClient http, Consumer<String> sendHello, Executor loop) {
        this.follower = follower;
        this.http = http;
        this.sendHello = sendHello;
        this.loop = loop;
    }

    /**
     * Sends hello messages to some peers if the last read of the operator log has failed or the
     * fleet view is too old, unless the last round was too recent.
     *
     * @param dispatcher the address of the dispatcher; empty if it is not known
     * @param peers the addresses of all peers
     */
    void askPeersIfStale(String dispatcher, List<String> peers) {
        long now = now();
        boolean stale = follower.logFailing() || follower.ageMillis() > MAX_VIEW_AGE_MILLIS;
        if (!stale || peers.isEmpty()) {
            askingSinceMillis = -1;
        } else if (now - lastAskedMillis >= ASK_INTERVAL_MILLIS) {
            if (askingSinceMillis < 0) {
                askingSinceMillis = now;
            }
            lastAskedMillis = now;
            choosePeers(dispatcher, peers).forEach(sendHello);
        }
    }

    /**
     * Chooses the dispatcher and the peers heard from most recently. If there are more peers than
     * may be asked, the last place goes to a random other peer, which may be a new dispatcher.
     */
    private List<String> choosePeers(String dispatcher, List<String> peers) {
        List<String> ranked = new ArrayList<>(peers);
        Collections.shuffle(ranked);
        ranked.sort(Comparator.comparingLong(peer -> -lastHelloMillis.getOrDefault(peer, 0L)));
        if (ranked.remove(dispatcher)) {
            ranked.add(0, dispatcher);
        }
        if (ranked.size() > MAX_PEERS_ASKED) {
            List<String> rest = ranked.subList(MAX_PEERS_ASKED - 1, ranked.size());
            Collections.shuffle(rest);
        }
        return ranked.subList(0, Math.min(MAX_PEERS_ASKED, ranked.size()));
    }

    /**
     * Returns the addresses of peers that have recently reported that the log service responds to
     * them, latest report first, at most {@link #MAX_PEERS_ASKED}.
     */
    List<String> peersWithLogAccess() {
        long since = now() - MAX_LOG_ACCESS_REPORT_AGE_MILLIS;
        return lastLogAccessMillis.entrySet().stream()
                .filter(peer -> peer.getValue() >= since)
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(MAX_PEERS_ASKED)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Records a hello message or a response to one. Fetches the snapshot of its sender if that is
     * newer and no other fetch is in progress.
     */
    void onHello(PeerHello hello) {
        lastHelloMillis.put(hello.address(), now());
        if (hello.logServes()) {
            lastLogAccessMillis.put(hello.address(), now());
        } else {
            lastLogAccessMillis.remove(hello.address());
        }
        if (hello.fleetOffset() > follower.view().offset() && !fetching) {
            fetch(hello.address());
        }
    }

    /**
     * Records the response to a hello message.
     *
     * @param hello the response
     * @param sent when the hello message was sent
     */
    void onHelloResponse(PeerHello hello, LogServiceContact.ClockReading sent) {
        lastResponseMillis = now();
        if (hello.logServes()) {
            lastLogAccessResponseMillis = lastResponseMillis;
        }
        // The peer responded after the hello message was sent, so the time passed on is not later
        // than the time at which the peer confirmed its offset.
        follower.confirm(hello.fleetOffset(), sent.plus(-hello.fleetAgeMillis()));
    }

    /**
     * Returns whether this entry reaches the log service, only peers, or neither.
     *
     * @return {@code CUT_OFF} if peers are being asked and none has responded for a second;
     *     otherwise {@code LOG_DOWN} if the last read has failed and no peer has reported access to
     *     the log service in the last second; otherwise {@code SERVED}
     */
    Connectivity connectivity() {
        long since = askingSinceMillis;
        long now = now();
        if (since >= 0 && now - Math.max(since, lastResponseMillis) > CUT_OFF_AFTER_MILLIS) {
            return Connectivity.CUT_OFF;
        }
        boolean logDown =
                follower.logFailing()
                        && now - lastLogAccessResponseMillis > MAX_LOG_ACCESS_RESPONSE_AGE_MILLIS;
        return logDown ? Connectivity.LOG_DOWN : Connectivity.SERVED;
    }

    private void fetch(String peer) {
        fetching = true;
        http.send(HttpClient.request("GET", peer, "/peer/fleet", null).build(), FETCH_TIMEOUT)
                .thenApply(response -> response.read(FleetSnapshot.class))
                .whenCompleteAsync(
                        (snapshot, error) -> {
                            fetching = false;
                            if (error == null) {
                                follower.adopt(snapshot, peer);
                            } else {
                                EventLog.event("fleet-fetch-failed")
                                        .field("from", peer)
                                        .field("offset", follower.view().offset())
                                        .error(Failures.causeOf(error))
                                        .warn();
                            }
                        },
                        loop);
    }

    private long now() {
        return follower.now().monotonicMillis();
    }
}
