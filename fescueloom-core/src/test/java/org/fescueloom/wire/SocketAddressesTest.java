package org.fescueloom.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullAndEmptySource;
import org.junit.jupiter.params.provider.ValueSource;

class SocketAddressesTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.7:7100", "255.255.255.255:65535", "[::1]:80", "[fe80::2]:1"})
    void acceptsIpNumbersWithAPort(String text) {
        assertThat(SocketAddresses.isConnectable(text)).isTrue();
    }

    @ParameterizedTest
    @NullAndEmptySource
    @ValueSource(
            strings = {
                "localhost:80", "10.0.0.7", "10.0.0.256:80", "10.0.0:80", "01.0.0.1:80",
                "10.0.0.7:65536", "10.0.0.7:-1", "::1:80", "[]:80", "http://10.0.0.7:80",
                "10.0.0.7:80 "
            })
    void refusesEverythingElse(String text) {
        assertThat(SocketAddresses.isListenable(text)).isFalse();
        assertThat(SocketAddresses.isConnectable(text)).isFalse();
    }

    @Test
    void listensButDoesNotConnectToPortZeroAndWildcards() {
        for (String text : new String[] {"127.0.0.1:0", "0.0.0.0:80", "[::]:80"}) {
            assertThat(SocketAddresses.isListenable(text)).isTrue();
            assertThat(SocketAddresses.isConnectable(text)).isFalse();
        }
    }

    @Test
    void splitsHostAndPort() {
        assertThat(SocketAddresses.host("[::1]:80")).isEqualTo("[::1]");
        assertThat(SocketAddresses.port("10.0.0.7:7100")).isEqualTo(7100);
        assertThatThrownBy(() -> SocketAddresses.host("localhost"))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
