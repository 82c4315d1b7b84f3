/** Steps of the scenarios: instances and stand-ins in this process, on sockets. */
package org.quetzalscale.acceptance.scenario;
