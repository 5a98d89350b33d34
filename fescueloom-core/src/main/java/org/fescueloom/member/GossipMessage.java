package org.fescueloom.member;

import java.util.List;
import java.util.Objects;
import org.fescueloom.wire.ConfigStatus;

/**
 * Is a probe or its answer. Its length does not depend on the number of members.
 *
 * @param from the identifier of the sender, not null
 * @param digest the digest of all that the sender believes of the members
 * @param updates a bounded number of news; null counts as none
 * @param config the sender's view of the configuration; null if it has none
 */
public record GossipMessage(
        String from, long digest, List<MembershipRecord> updates, ConfigStatus config) {
    /** Checks the sender and copies the news. */
    public GossipMessage {
        Objects.requireNonNull(from, "from");
        updates = updates == null ? List.of() : List.copyOf(updates);
    }
}
