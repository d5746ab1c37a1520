/** Runs the program's VMs as processes under network cuts and looks for tasks that run twice at once. */
package org.gooseberrypier.soak;
