package org.fescueloom.member;

import java.util.List;
import java.util.Objects;
import org.fescueloom.wire.ConfigStatus;

/**
 * Represents a probe or the response to a probe. The length of the message does not depend on the
 * number of members.
 *
 * @param from the identifier of the sender, not null
 * @param digest the digest of the sender's table of members
 * @param updates a bounded number of membership updates; null is treated as none
 * @param config the configuration status of the sender; null if there is none
 */
public record GossipMessage(
        String from, long digest, List<MembershipRecord> updates, ConfigStatus config) {
    /** Checks that the sender is not null and copies the updates. */
    public GossipMessage {
        Objects.requireNonNull(from, "from");
        updates = updates == null ? List.of() : List.copyOf(updates);
    }
}
