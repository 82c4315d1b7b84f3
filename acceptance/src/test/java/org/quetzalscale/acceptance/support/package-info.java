/** What the tests of whole deployments share: callers, declarations and waits. */
package org.quetzalscale.acceptance.support;
