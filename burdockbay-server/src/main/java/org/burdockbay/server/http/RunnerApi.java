package org.burdockbay.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.configuration.DispatchSchema;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.server.host.HostController;
import org.burdockbay.server.runner.RunnerMessages;
import org.burdockbay.server.settings.HostSettings;

/** HTTP route for the announcements of runners. */
public final class RunnerApi {

  /** Interval at which runners are asked to announce themselves. */
  public static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;

  private static final int MAX_SLOTS = 10_000;

  private final HostController controller;
  private final HostSettings settings;
  private final Responder responder;
  private final ObjectMapper json;

  /** Creates the API. */
  public RunnerApi(
      HostController controller, HostSettings settings, Responder responder, ObjectMapper json) {
    this.controller = controller;
    this.settings = settings;
    this.responder = responder;
    this.json = json;
  }

  /** Adds the routes of this API. */
  public void register(RoutesConfig routes) {
    routes.post("/v1/runners/announce", this::announce);
  }

  private void announce(Context context) throws ApiException {
    Credentials.requireToken(context, settings.runnerToken());
    RunnerMessages.Announce body;
    try {
      body = json.readValue(context.body(), RunnerMessages.Announce.class);
    } catch (JsonProcessingException e) {
      throw new ApiException(
          ErrorKind.BAD_REQUEST, "not an announcement: " + e.getOriginalMessage());
    }
    controller.runnerAnnounced(toAnnouncement(body));
    responder.writeJson(
        context,
        200,
        new RunnerMessages.Announced(
            settings.id(),
            settings.domain(),
            controller.dispatcherView().epoch(),
            ANNOUNCEMENT_INTERVAL_MILLIS));
  }

  private RunnerAnnouncement toAnnouncement(RunnerMessages.Announce body) throws ApiException {
    require(
        body.runner() != null && body.runner().matches(DispatchSchema.NAME_PATTERN),
        "field 'runner' is not a name");
    require(
        body.address() != null && body.address().matches("https?://[0-9.]+:[0-9]{1,5}"),
        "field 'address' is not http://IP:PORT");
    require(body.services() != null && !body.services().isEmpty(), "field 'services' is empty");
    require(
        body.slots() >= 0 && body.slots() <= MAX_SLOTS,
        "field 'slots' is not from 0 to " + MAX_SLOTS);
    require(
        settings.domain().equals(body.domain()),
        "field 'domain' is '" + body.domain() + "'; this host is in '" + settings.domain() + "'");
    List<String> labels = body.labels() == null ? List.of() : body.labels();
    return new RunnerAnnouncement(
        new RunnerId(body.runner(), body.incarnation()),
        body.address(),
        Set.copyOf(body.services()),
        Set.copyOf(labels),
        body.slots(),
        body.leaving());
  }

  private static void require(boolean valid, String detail) throws ApiException {
    if (!valid) {
      throw new ApiException(ErrorKind.BAD_REQUEST, detail);
    }
  }
}
