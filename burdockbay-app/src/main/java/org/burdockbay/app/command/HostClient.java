package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Client of the HTTP API of a host; converts problem details into exceptions. */
final class HostClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long TIMEOUT_SECONDS = 60;

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).build();
  private final String host;
  private final String token;

  HostClient(String host, String token) {
    this.host = host;
    this.token = token;
  }

  JsonNode get(String path) throws BurdockbayException {
    return execute(request(path).get().build());
  }

  JsonNode delete(String path) throws BurdockbayException {
    return execute(request(path).delete().build());
  }

  JsonNode post(String path, Object body, Map<String, String> headers) throws BurdockbayException {
    try {
      Request.Builder request =
          request(path).post(RequestBody.create(mapper.writeValueAsBytes(body), JSON));
      headers.forEach(request::header);
      return execute(request.build());
    } catch (IOException e) {
      throw new BurdockbayException(
          ErrorKind.INTERNAL, "request body can't be written as JSON: " + e.getMessage(), e);
    }
  }

  String prettyPrint(JsonNode node) throws BurdockbayException {
    try {
      return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(node);
    } catch (IOException e) {
      throw new BurdockbayException(
          ErrorKind.INTERNAL, "response can't be written as JSON: " + e.getMessage(), e);
    }
  }

  ObjectMapper mapper() {
    return mapper;
  }

  private Request.Builder request(String path) {
    String base = host.startsWith("http") ? host : "http://" + host;
    return new Request.Builder().url(base + path).header("Authorization", "Bearer " + token);
  }

  private JsonNode execute(Request request) throws BurdockbayException {
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      JsonNode node = body.isEmpty() ? mapper.createObjectNode() : mapper.readTree(body);
      if (!response.isSuccessful()) {
        ErrorKind kind =
            ErrorKind.ofCode(node.path("title").asText()).orElse(ErrorKind.UNAVAILABLE);
        throw new BurdockbayException(kind, kind.code() + ": " + node.path("detail").asText(body));
      }
      return node;
    } catch (IOException e) {
      throw new BurdockbayException(
          ErrorKind.UNAVAILABLE, "host " + host + " can't be reached: " + e.getMessage(), e);
    }
  }
}
