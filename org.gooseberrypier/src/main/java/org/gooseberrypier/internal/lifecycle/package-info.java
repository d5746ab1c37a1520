/** The graceful stop of a VM. */
package org.gooseberrypier.internal.lifecycle;
