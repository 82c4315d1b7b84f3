/** Jobs in the daemon: the service that drives them and the answers to submitters. */
package org.quetzalscale.daemon.job;
