/** The HTTP interface for operators: resources, watches, status and metrics. */
package org.quetzalscale.daemon.operator;
