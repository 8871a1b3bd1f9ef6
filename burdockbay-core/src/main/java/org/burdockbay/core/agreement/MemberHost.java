package org.burdockbay.core.agreement;

/**
 * Live host with a data folder, which is a member of the group or can become one.
 *
 * @param id host and incarnation of its data folder
 * @param domain failure domain of the host
 */
public record MemberHost(VoterId id, String domain) {}
