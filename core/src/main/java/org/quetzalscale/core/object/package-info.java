/** Port to the platform's object store, and a store in memory. */
package org.quetzalscale.core.object;
