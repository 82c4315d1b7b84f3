/** Choice of a worker for a request, and ejection of workers that fail what they get. */
package org.quetzalscale.core.route;
