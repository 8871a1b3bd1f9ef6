package org.burdockbay.core.configuration;

import java.util.List;

/**
 * A caller that the configuration defines.
 *
 * @param name name of the caller
 * @param credentialSha256 SHA-256 of its bearer credential, in lower-case hexadecimal
 * @param services services that it may use
 * @param quota maximum number of its waiting and running tasks in a failure domain
 * @param weight share of the slots relative to other waiting callers
 */
public record CallerRule(
    String name, String credentialSha256, List<String> services, int quota, int weight) {}
