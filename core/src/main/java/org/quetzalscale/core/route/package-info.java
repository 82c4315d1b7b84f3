/** Worker selection for requests, and ejection of failing workers. */
package org.quetzalscale.core.route;
