/** Jobs in the daemon: the service that schedules them and the HTTP handlers for submitters. */
package org.quetzalscale.daemon.job;
