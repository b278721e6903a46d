package placement

// FixVersion binds a request to the targets of a software version, because one of them began its stream: what two
// versions write does not fit together. The empty version is one like any other.
func (a *Request) FixVersion(version string) {
	a.Version, a.VersionFixed = version, true
	a.preferred = preferredTargets{} // may have another version
}

// AllowsVersion reports whether the request may be sent to targets of a software version.
func (a *Request) AllowsVersion(version string) bool { return !a.VersionFixed || version == a.Version }
