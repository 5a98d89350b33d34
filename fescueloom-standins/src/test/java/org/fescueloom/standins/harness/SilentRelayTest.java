package org.fescueloom.standins.harness;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.log.LogStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SilentRelayTest {
    private static final int SILENCE_CHECK_MILLIS = 300;
    private static final byte[] REQUEST =
            "GET /v1/streams/s HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private final LogStandIn log = new LogStandIn(ListenAddress.ANY, 10, 100);
    private SilentRelay relay;

    @BeforeEach
    void start() throws IOException {
        log.start();
        relay = new SilentRelay(ListenAddress.parse(log.address()));
    }

    @AfterEach
    void close() {
        relay.close();
        log.close();
    }

    private Socket connect() throws IOException {
        ListenAddress address = ListenAddress.parse(relay.address());
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static int sendRequest(Socket socket) throws IOException {
        socket.getOutputStream().write(REQUEST);
        int firstByte = socket.getInputStream().read();
        socket.getInputStream().skipNBytes(socket.getInputStream().available());
        return firstByte;
    }

    @Nested
    class OpenConnections {
        @Test
        void areSilencedWhileNewConnectionsWork() throws IOException {
            try (Socket old = connect()) {
                assertThat(sendRequest(old)).isEqualTo('H');
                relay.silence();
                old.setSoTimeout(SILENCE_CHECK_MILLIS);
                assertThatThrownBy(() -> sendRequest(old))
                        .isInstanceOf(SocketTimeoutException.class);
                try (Socket fresh = connect()) {
                    assertThat(sendRequest(fresh)).isEqualTo('H');
                }
            }
        }

        @Test
        void areClosed() throws IOException {
            try (Socket old = connect()) {
                assertThat(sendRequest(old)).isEqualTo('H');
                relay.closeConnections();
                assertThat(old.getInputStream().readAllBytes()).isNotNull();
                assertThat(old.getInputStream().read()).isEqualTo(-1);
            }
        }
    }
}
