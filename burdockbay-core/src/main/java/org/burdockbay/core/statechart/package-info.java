/** Statecharts that are defined in resource files and interpreted at run time. */
package org.burdockbay.core.statechart;
