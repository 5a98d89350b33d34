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
 * Keeps an entry up to date through other entries while the log service fails it.
 *
 * <p>The log service may serve some entries and fail others. Entries tell each other how far they
 * have read the log of the operators; one that has read less takes the records of one that has read
 * more. Confined to the thread of its owner, but for the questions that callers' threads ask.
 */
final class PeerFleetSync {
    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(800);

    /** How often other entries are asked while the log service fails this one. */
    private static final long ASK_MILLIS = 300;

    /** A healthy follower hears from the log service each second. */
    private static final long STALE_MILLIS = 1_200;

    /** How many entries are asked at a time, whatever their number. */
    private static final int MAX_ASKED = 3;

    /** Without an answer of any entry to three rounds of questions this one counts as cut off. */
    private static final long CUT_OFF_MILLIS = 1_000;

    /** Entries hear from the dispatcher each 400 ms, and ask others each 300 ms in an outage. */
    private static final long ALIVE_MILLIS = 1_500;

    /** How long the word of another entry counts that the log service serves it. */
    private static final long SERVED_MILLIS = 1_000;

    private final FleetFollower follower;
    private final HttpClient http;
    private final Consumer<String> ask;
    private final Executor loop;
    private long askedMillis = Long.MIN_VALUE / 2;
    private final Map<String, Long> heardMillis = new HashMap<>();
    private final Map<String, Long> peersServedMillis = new HashMap<>();
    private boolean fetching;
    private volatile long askingSinceMillis = -1;
    private volatile long answeredMillis = Long.MIN_VALUE / 2;
    private volatile long servedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an exchange.
     *
     * @param follower follows the log of the operators
     * @param http fetches records
     * @param ask says hello to an entry, whose answer is to be handed to {@link #onHelloAnswer}
     * @param loop the thread of the owner
     */
    PeerFleetSync(FleetFollower follower, HttpClient http, Consumer<String> ask, Executor loop) {
        this.follower = follower;
        this.http = http;
        this.ask = ask;
        this.loop = loop;
    }

    /** Asks other entries, if the log service has failed this one for a while. */
    void askPeersIfStale(String leader, List<String> others) {
        long now = now();
        boolean stale = follower.logFailing() || follower.ageMillis() > STALE_MILLIS;
        if (!stale || others.isEmpty()) {
            askingSinceMillis = -1;
        } else if (now - askedMillis >= ASK_MILLIS) {
            if (askingSinceMillis < 0) {
                askingSinceMillis = now;
            }
            askedMillis = now;
            chosen(leader, others).forEach(ask);
        }
    }

    /** Chooses the dispatcher, who was heard of last, and any other, who may be a new one. */
    private List<String> chosen(String leader, List<String> others) {
        List<String> ranked = new ArrayList<>(others);
        Collections.shuffle(ranked);
        ranked.sort(Comparator.comparingLong(peer -> -heardMillis.getOrDefault(peer, 0L)));
        if (ranked.remove(leader)) {
            ranked.add(0, leader);
        }
        if (ranked.size() > MAX_ASKED) {
            List<String> rest = ranked.subList(MAX_ASKED - 1, ranked.size());
            Collections.shuffle(rest);
        }
        return ranked.subList(0, Math.min(MAX_ASKED, ranked.size()));
    }

    /** Returns entries that have lately said that the log service serves them, latest first. */
    List<String> peersWithLogAccess() {
        long since = now() - ALIVE_MILLIS;
        return peersServedMillis.entrySet().stream()
                .filter(peer -> peer.getValue() >= since)
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(MAX_ASKED)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Takes note of what another entry said of itself. */
    void onHello(PeerHello hello) {
        heardMillis.put(hello.address(), now());
        if (hello.logServes()) {
            peersServedMillis.put(hello.address(), now());
        } else {
            peersServedMillis.remove(hello.address());
        }
        if (hello.fleetOffset() > follower.view().offset() && !fetching) {
            fetch(hello.address());
        }
    }

    /** Takes note of the answer to a hello that was sent at a moment. */
    void onHelloAnswer(PeerHello hello, LogServiceContact.ClockReading sent) {
        answeredMillis = now();
        if (hello.logServes()) {
            servedMillis = answeredMillis;
        }
        follower.confirm(hello.fleetOffset(), sent.plus(-hello.fleetAgeMillis()));
    }

    /** Returns what this entry reaches, by the answers of the last second. */
    Connectivity reach() {
        long since = askingSinceMillis;
        long now = now();
        if (since >= 0 && now - Math.max(since, answeredMillis) > CUT_OFF_MILLIS) {
            return Connectivity.CUT_OFF;
        }
        boolean servesNobody = follower.logFailing() && now - servedMillis > SERVED_MILLIS;
        return servesNobody ? Connectivity.LOG_DOWN : Connectivity.SERVED;
    }

    private void fetch(String peer) {
        fetching = true;
        http.send(HttpClient.request("GET", peer, "/peer/fleet", null).build(), FETCH_TIMEOUT)
                .thenApply(answer -> answer.read(FleetSnapshot.class))
                .whenCompleteAsync(
                        (copy, error) -> {
                            fetching = false;
                            if (error == null) {
                                follower.adopt(copy, peer);
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
