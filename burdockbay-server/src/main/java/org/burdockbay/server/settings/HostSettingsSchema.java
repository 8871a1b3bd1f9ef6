package org.burdockbay.server.settings;

import static org.burdockbay.core.configuration.SettingDefinition.key;

import java.util.List;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.configuration.DispatchSchema;
import org.burdockbay.core.configuration.DocumentSchema;
import org.burdockbay.core.configuration.SectionDefinition;
import org.burdockbay.core.configuration.SettingDefinition;

/** Defines the schema of the settings file of a host. */
public final class HostSettingsSchema {

  private static final String ADDRESS_PATTERN = "\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}";
  private static final String ADDRESS_HELP = "an IPv4 number and a port, as 10.0.0.1:7100";
  private static final String NAME_HELP = "a name of letters, digits, dots, dashes, underscores";

  /** The schema with the sections of this host and its peers. */
  public static final DocumentSchema SCHEMA = DocumentSchema.of(hostSection(), peerSection());

  private HostSettingsSchema() {}

  private static SectionDefinition hostSection() {
    return new SectionDefinition(
        "host",
        false,
        "This host.",
        List.of(
            key("id").text(DispatchSchema.NAME_PATTERN, NAME_HELP).build("Id of the host."),
            domainSetting(),
            key("cluster")
                .text(DispatchSchema.NAME_PATTERN, NAME_HELP)
                .build("Name of the cluster; hosts of another one are refused."),
            key("secret")
                .text("\\S{16,256}", "16 to 256 characters without blanks")
                .build("Secret that the hosts of the cluster share to know each other."),
            key("peer-address")
                .text(ADDRESS_PATTERN, ADDRESS_HELP)
                .build("Where other hosts connect."),
            key("http-address")
                .text(ADDRESS_PATTERN, ADDRESS_HELP)
                .build("Where callers, runners and operators connect."),
            key("operator-token")
                .text("\\S{16,256}", "16 to 256 characters without blanks")
                .build("Bearer credential of operators."),
            key("runner-token")
                .text("\\S{16,256}", "16 to 256 characters without blanks")
                .build("Bearer credential of runners."),
            key("data-folder")
                .text(".*", "a path, or nothing on a host without a disk")
                .defaultValue("")
                .build("Data folder; a host that has one takes part in the agreement."),
            key("tolerated-hosts")
                .wholeNumber(0, FaultTolerance.MAX_LOSSES)
                .defaultValue(Integer.toString(FaultTolerance.DEFAULT.hosts()))
                .build(
                    "Voters that may be lost at once; it takes two voters more for each. A number"
                        + " that the voters can't bear is an error."),
            key("tolerated-domains")
                .wholeNumber(0, FaultTolerance.MAX_LOSSES)
                .defaultValue(Integer.toString(FaultTolerance.DEFAULT.domains()))
                .build(
                    "Failure domains that may be lost at once; a majority of the voters must be"
                        + " outside them. A number that the voters can't bear is an error."),
            key("tls-certificate")
                .text(".*", "a path to a PEM file, or nothing")
                .defaultValue("")
                .build("Certificate chain for HTTPS; plain HTTP where it is missing."),
            key("tls-key")
                .text(".*", "a path to a PEM file, or nothing")
                .defaultValue("")
                .build("Private key of the certificate, PKCS 8."),
            key("max-open-requests")
                .wholeNumber(1, 1_000_000)
                .defaultValue("10000")
                .build("Requests of callers that may wait at once."),
            key("max-body-kib")
                .wholeNumber(1, 65_536)
                .defaultValue("1024")
                .build("Largest body of a request, in KiB."),
            key("drain-ms")
                .wholeNumber(100, 3_600_000)
                .defaultValue("30000")
                .build("Longest time for which a planned stop waits for requests in flight.")));
  }

  private static SectionDefinition peerSection() {
    return new SectionDefinition(
        "peer",
        true,
        "Another host; the header carries its id.",
        List.of(
            domainSetting(),
            key("address").text(ADDRESS_PATTERN, ADDRESS_HELP).build("Its peer address."),
            key("voter")
                .flag()
                .defaultValue("false")
                .build("Whether it has a data folder and takes part in the agreement.")));
  }

  private static SettingDefinition domainSetting() {
    return key("domain")
        .text(DispatchSchema.NAME_PATTERN, NAME_HELP)
        .build("The failure domain of the host.");
  }
}
