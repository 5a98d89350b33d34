import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads and writes JSON. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static JsonNode read(byte[] bytes) {
        try {
            return bytes.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
