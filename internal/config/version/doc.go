// Package version keeps the product's own configuration text in the store, one
// version after the other.
//
// A change is put with the version that it was based on and a change id. It takes
// effect by one conditional write; versions only rise. The answer to a change may
// be lost: putting it again with the same change id settles what became of it.
package version
