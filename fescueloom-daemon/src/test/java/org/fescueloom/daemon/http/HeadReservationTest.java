package org.fescueloom.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HeadReservationTest {
    private final SharedBudget.Share budget = new SharedBudget(100).share(1.0);
    private final HeadReservation heads = new HeadReservation(budget);

    /** Guards against heads that arrive slowly and are not counted. */
    @Test
    void countsAHeadThatArrivesInParts() {
        assertThat(heads.receive(60)).isTrue();
        assertThat(heads.receive(40)).isTrue();
        assertThat(heads.receive(1)).isFalse();
        assertThat(budget.inUse()).isEqualTo(101);
    }

    /** Guards against a count that grows with each request of a connection. */
    @Test
    void replacesTheHeadOfTheRequestBefore() {
        for (int i = 0; i < 50; i++) {
            assertThat(heads.receive(30)).isTrue();
            heads.markDecoded();
            heads.beginRequest();
        }
        assertThat(budget.inUse()).isEqualTo(30);
    }

    /** Guards against a body in short chunks, whose bytes have a budget of their own. */
    @Test
    void countsNoBodyThatIsDecoded() {
        heads.receive(10);
        heads.markDecoded();
        heads.beginRequest();
        for (int i = 0; i < 50; i++) {
            heads.receive(6);
            heads.markDecoded();
            heads.removeBodyBytes(1);
        }
        assertThat(budget.inUse()).isEqualTo(15);
    }

    @Test
    void releasesEverythingWithTheConnection() {
        heads.receive(10);
        heads.markDecoded();
        heads.beginRequest();
        heads.receive(20);
        heads.releaseAll();
        heads.releaseAll();
        assertThat(budget.inUse()).isZero();
    }
}
