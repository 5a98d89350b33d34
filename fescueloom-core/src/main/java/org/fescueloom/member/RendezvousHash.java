package org.fescueloom.member;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * Chooses the members that are responsible for a key by rendezvous hashing.
 *
 * <p>All processes that know the same members choose the same members for a key. When a member is
 * added or removed, only the keys for which that member is chosen are reassigned.
 */
public final class RendezvousHash {
    private static final String ALGORITHM = "SHA-256";

    /** Separates the key from the member name in the input of the hash function. */
    private static final byte SEPARATOR = 0;

    private RendezvousHash() {}

    /**
     * Chooses members by their names.
     *
     * @param key the key, not null
     * @param members the names of the members, not null
     * @param count the maximum number of members to choose, at least 0
     * @return the chosen names in order of preference; fewer than {@code count} if there are fewer
     *     members
     * @throws IllegalArgumentException if {@code count} is negative
     */
    public static List<String> top(String key, Collection<String> members, int count) {
        return top(key, members, Function.identity(), count);
    }

    /**
     * Chooses members.
     *
     * @param <T> the type of the members
     * @param key the key, not null
     * @param members the members, not null
     * @param name returns the name of a member, not null
     * @param count the maximum number of members to choose, at least 0
     * @return the chosen members in order of preference; fewer than {@code count} if there are
     *     fewer members
     * @throws IllegalArgumentException if {@code count} is negative
     */
    public static <T> List<T> top(
            String key, Collection<T> members, Function<T, String> name, int count) {
        Objects.requireNonNull(key, "key");
        if (count < 0) {
            throw new IllegalArgumentException("count is negative: " + count);
        }
        MessageDigest digest = digest();
        List<Scored<T>> scored = new ArrayList<>(members.size());
        for (T member : members) {
            String id = name.apply(member);
            scored.add(new Scored<>(member, id, score(digest, key, id)));
        }
        scored.sort(
                Comparator.<Scored<T>>comparingLong(Scored::score)
                        .reversed()
                        .thenComparing(Scored::name));
        return scored.stream().limit(count).map(Scored::member).toList();
    }

    private record Scored<T>(T member, String name, long score) {}

    private static long score(MessageDigest digest, String key, String name) {
        digest.update(key.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        return ByteBuffer.wrap(digest.digest(name.getBytes(StandardCharsets.UTF_8))).getLong();
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java platform", e);
        }
    }
}
