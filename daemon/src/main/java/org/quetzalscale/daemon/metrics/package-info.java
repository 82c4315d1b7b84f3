/** The metrics of one process in the Prometheus format. */
package org.quetzalscale.daemon.metrics;
