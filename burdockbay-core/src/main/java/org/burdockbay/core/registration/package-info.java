/**
 * Registration of work with the dispatcher that is the registrar of its id.
 *
 * <p>Entry hosts select shards independently of each other, so two attempts of a caller may reach
 * dispatchers of two shards. The registrar lets only one of them run the work at a time.
 */
package org.burdockbay.core.registration;
