package org.burdockbay.server.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.burdockbay.core.agreement.FaultMargin;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterSet;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.Problem;
import org.burdockbay.core.configuration.ValidSection;
import org.burdockbay.core.configuration.support.IniReader;

/**
 * The validated settings of one host.
 *
 * @param id id of the host
 * @param domain failure domain of the host
 * @param cluster name of the cluster
 * @param secret secret shared by the hosts of the cluster
 * @param peerAddress listen address for other hosts
 * @param httpAddress listen address for callers, runners and operators
 * @param operatorToken bearer credential of operators
 * @param runnerToken bearer credential of runners
 * @param dataFolder data folder; empty on a host without a disk
 * @param tls certificate and key; empty for plain HTTP
 * @param limits limits on the requests of callers
 * @param drainTimeoutMillis maximum time for which a planned stop waits for requests in flight
 * @param peers the other hosts
 * @param faultTolerance losses that the voters must bear
 */
public record HostSettings(
    String id,
    String domain,
    String cluster,
    String secret,
    HostAddress peerAddress,
    HostAddress httpAddress,
    String operatorToken,
    String runnerToken,
    Optional<Path> dataFolder,
    Optional<TlsFiles> tls,
    RequestLimits limits,
    long drainTimeoutMillis,
    List<PeerSettings> peers,
    FaultTolerance faultTolerance) {

  /** PEM files of the certificate chain and the private key. */
  public record TlsFiles(Path certificate, Path key) {}

  /**
   * Limits on the requests of callers.
   *
   * @param maxOpenRequests maximum number of requests that wait at the same time
   * @param maxBodyBytes maximum size of the body of a request
   */
  public record RequestLimits(int maxOpenRequests, int maxBodyBytes) {}

  /**
   * Reads and validates a settings file.
   *
   * @throws ConfigurationException if the file can't be read or is invalid; lists every problem
   *     with file, line and field
   */
  public static HostSettings read(Path file) throws ConfigurationException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new ConfigurationException(
          List.of(new Problem(file.toString(), 0, "file", "can't be read: " + e)));
    }
    return parse(file.toString(), text);
  }

  /**
   * Parses and validates the text of a settings file.
   *
   * @param file name of the file, for problems
   * @throws ConfigurationException if the text is invalid; lists every problem with file, line and
   *     field
   */
  public static HostSettings parse(String file, String text) throws ConfigurationException {
    List<Problem> problems = new ArrayList<>();
    List<ValidSection> sections =
        HostSettingsSchema.SCHEMA.validate(new IniReader(file).read(text), problems);
    Optional<ValidSection> host =
        sections.stream().filter(section -> section.kind().equals("host")).findFirst();
    if (host.isEmpty()) {
      problems.add(new Problem(file, 0, "[host]", "the section is missing"));
    }
    if (problems.isEmpty()) {
      validateAcrossSections(sections, problems);
    }
    if (!problems.isEmpty()) {
      problems.sort(Comparator.comparingInt(Problem::line));
      throw new ConfigurationException(problems);
    }
    HostSettings settings = createSettings(host.orElseThrow(), sections);
    settings.validateTolerance(host.orElseThrow(), problems);
    if (!problems.isEmpty()) {
      throw new ConfigurationException(problems);
    }
    return settings;
  }

  /** Returns the failure domain of each host by host id, including this host. */
  public Map<String, String> domainByHost() {
    Map<String, String> domains = new TreeMap<>();
    domains.put(id, domain);
    peers.forEach(peer -> domains.put(peer.id(), peer.domain()));
    return domains;
  }

  /** Returns the sorted ids of the hosts that are configured as Raft voters. */
  public List<String> voterIds() {
    List<String> voters = new ArrayList<>();
    if (dataFolder.isPresent()) {
      voters.add(id);
    }
    peers.stream().filter(PeerSettings::voter).map(PeerSettings::id).forEach(voters::add);
    return voters.stream().sorted().toList();
  }

  private static void validateAcrossSections(List<ValidSection> sections, List<Problem> problems) {
    Set<String> ids = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    for (ValidSection section : sections) {
      boolean self = section.kind().equals("host");
      String id = self ? section.text("id") : section.name();
      if (!ids.add(id)) {
        problems.add(section.problem("id", "host '" + id + "' is given twice"));
      }
      String key = self ? "peer-address" : "address";
      if (!addresses.add(section.text(key))) {
        problems.add(section.problem(key, "the address " + section.text(key) + " is given twice"));
      }
      if (self && section.text("tls-certificate").isEmpty() != section.text("tls-key").isEmpty()) {
        problems.add(
            section.problem("tls-key", "tls-certificate and tls-key must be set together"));
      }
    }
  }

  private static HostSettings createSettings(ValidSection host, List<ValidSection> sections) {
    List<PeerSettings> peers =
        sections.stream()
            .filter(section -> section.kind().equals("peer"))
            .map(
                section ->
                    new PeerSettings(
                        section.name(),
                        section.text("domain"),
                        HostAddress.parse(section.text("address")),
                        section.flag("voter")))
            .toList();
    Optional<TlsFiles> tls =
        optionalPath(host, "tls-certificate")
            .map(certificate -> new TlsFiles(certificate, Path.of(host.text("tls-key"))));
    return new HostSettings(
        host.text("id"),
        host.text("domain"),
        host.text("cluster"),
        host.text("secret"),
        HostAddress.parse(host.text("peer-address")),
        HostAddress.parse(host.text("http-address")),
        host.text("operator-token"),
        host.text("runner-token"),
        optionalPath(host, "data-folder"),
        tls,
        new RequestLimits(
            host.wholeNumber("max-open-requests"), host.wholeNumber("max-body-kib") * 1024),
        host.wholeNumber("drain-ms"),
        peers,
        new FaultTolerance(
            host.wholeNumber("tolerated-hosts"), host.wholeNumber("tolerated-domains")));
  }

  /** Reports tolerances that the document contains and the voters can't bear. */
  private void validateTolerance(ValidSection host, List<Problem> problems) {
    Map<String, String> domains = domainByHost();
    List<VoterId> voters = voterIds().stream().map(voter -> new VoterId(voter, 0)).toList();
    FaultMargin margin =
        FaultMargin.of(
            new VoterSet(voters, List.of()), voter -> true, voter -> domains.get(voter.host()));
    if (host.lines().containsKey("tolerated-hosts") && margin.hosts() < faultTolerance.hosts()) {
      problems.add(
          host.problem(
              "tolerated-hosts",
              "is %d, found %d voters, expected at least %d"
                  .formatted(
                      faultTolerance.hosts(), voters.size(), 2 * faultTolerance.hosts() + 1)));
    }
    if (host.lines().containsKey("tolerated-domains")
        && margin.domains() < faultTolerance.domains()) {
      problems.add(
          host.problem(
              "tolerated-domains",
              "is %d, found voters in the domains %s, expected a majority outside any %d of them"
                  .formatted(
                      faultTolerance.domains(),
                      voters.stream().map(voter -> domains.get(voter.host())).toList(),
                      faultTolerance.domains())));
    }
  }

  private static Optional<Path> optionalPath(ValidSection section, String key) {
    return section.text(key).isEmpty() ? Optional.empty() : Optional.of(Path.of(section.text(key)));
  }
}
