// Package version keeps the product's own configuration text in the store as a
// sequence of versions.
//
// A change is submitted with the version that it is based on and a change id. It
// takes effect by one conditional write; versions only rise. If the answer is lost,
// submitting the change again with the same change id returns its outcome, as long as
// no later change has taken effect.
package version
