// Package scenario holds the scripted scenarios: txtar archives in a small
// language that starts hosts, brings about failures and states what is expected.
package scenario
